package org.filbertrudder.app;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.filbertrudder.gateway.GatewaySettings;
import org.filbertrudder.platform.SettingsFile;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when changes of the settings file are noticed. */
public class SettingsReloaderTest {

    /** The time within which the platform expects changed settings to be in force. */
    private static final long IN_FORCE_MS = 4_000;

    private Path mFile;

    @BeforeMethod
    public void createFile() throws IOException {
        mFile = Files.createTempFile("settings", ".toml");
    }

    @AfterMethod(alwaysRun = true)
    public void deleteFile() throws IOException {
        Files.deleteIfExists(mFile);
    }

    private GatewaySettings write(int graceSeconds) throws IOException {
        Files.writeString(
                mFile,
                """
                nodeName = "edge-1"
                zone = "mtl-a"
                portRange = [7020,7035]
                [zones]
                mtl-a = "mtl"
                [listen]
                front = "127.0.0.1:8501"
                ready = "127.0.0.1:8503"
                control = "127.0.0.1:8509"
                directory = "127.0.0.1:8506"
                [bounds]
                graceS = %d
                [infra]
                addr = "127.0.0.1:8505"
                """
                        .formatted(graceSeconds));
        return SettingsFile.read(mFile).settings().orElseThrow();
    }

    /** Guards against changes whose signal came before the handler was set. */
    @Test
    public void changeBeforeTheStartIsNoticedAtOnce() throws Exception {
        GatewaySettings applied = write(8);
        GatewaySettings changed = write(5);
        CompletableFuture<GatewaySettings> noticed = new CompletableFuture<>();

        new SettingsReloader(mFile, applied, noticed::complete).start();

        assertEquals(noticed.get(IN_FORCE_MS, TimeUnit.MILLISECONDS), changed);
    }
}
