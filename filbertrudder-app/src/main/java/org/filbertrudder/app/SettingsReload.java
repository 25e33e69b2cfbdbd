package org.filbertrudder.app;

import java.nio.file.Path;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.filbertrudder.entry.log.Field;
import org.filbertrudder.entry.log.PartLog;
import org.filbertrudder.gateway.GatewaySettings;
import org.filbertrudder.platform.SettingsFile;
import sun.misc.Signal;

/** Reads the settings file again on SIGHUP and, as it may change without one, now and then. */
final class SettingsReload {

    private static final PartLog LOG = PartLog.of("settings");

    /** Without a signal a change may wait this long, in milliseconds. */
    private static final long CHECK_INTERVAL_MS = 5_000;

    private final Path mPath;
    private final Consumer<GatewaySettings> mOnChange;
    private final ScheduledThreadPoolExecutor mThread =
            new ScheduledThreadPoolExecutor(1, SettingsReload::newThread);
    private GatewaySettings mKnown;

    SettingsReload(Path path, GatewaySettings known, Consumer<GatewaySettings> onChange) {
        mPath = path;
        mKnown = known;
        mOnChange = onChange;
    }

    private static Thread newThread(Runnable action) {
        Thread thread = new Thread(action, "settings");
        thread.setDaemon(true);
        return thread;
    }

    /** Starts to follow the file; without this, the signal would end the process. */
    void start() {
        Signal.handle(new Signal("HUP"), signal -> mThread.execute(this::check));
        mThread.scheduleWithFixedDelay(
                this::check, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Adopts the file if it has changed; one that is wrong is reported and changes nothing. */
    void check() {
        SettingsFile.Result result = SettingsFile.read(mPath);
        result.problems()
                .forEach(
                        problem ->
                                LOG.warn(
                                        "The settings file is wrong.",
                                        Field.of("problem", problem)));
        if (result.settings().isPresent() && !result.settings().get().equals(mKnown)) {
            mKnown = result.settings().get();
            mOnChange.accept(mKnown);
        }
    }
}
