package org.filbertrudder.app;

import java.nio.file.Path;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.GatewaySettings;
import org.filbertrudder.platform.SettingsFile;
import sun.misc.Signal;

/** Reloads the settings file on SIGHUP, and at intervals as it may change without a signal. */
final class SettingsReloader {

    private static final ComponentLogger LOG = ComponentLogger.of("settings");

    /** Maximum delay in milliseconds before a change without a signal is detected. */
    private static final long CHECK_INTERVAL_MS = 5_000;

    private final Path mPath;
    private final Consumer<GatewaySettings> mOnChange;
    private final ScheduledThreadPoolExecutor mExecutor =
            new ScheduledThreadPoolExecutor(1, SettingsReloader::newThread);
    private GatewaySettings mAppliedSettings;

    SettingsReloader(
            Path path, GatewaySettings appliedSettings, Consumer<GatewaySettings> onChange) {
        mPath = path;
        mAppliedSettings = appliedSettings;
        mOnChange = onChange;
    }

    private static Thread newThread(Runnable action) {
        Thread thread = new Thread(action, "settings");
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Starts watching the file; without the handler, SIGHUP would end the process. The file is read
     * at once, as it may have changed since the settings to compare with were read, and a SIGHUP
     * before the handler was set has no effect.
     */
    void start() {
        Signal.handle(new Signal("HUP"), signal -> mExecutor.execute(this::reloadIfChanged));
        mExecutor.scheduleWithFixedDelay(
                this::reloadIfChanged, 0, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Applies the file if it has changed; logs the problems of a file that is not valid. */
    void reloadIfChanged() {
        SettingsFile.Result result = SettingsFile.read(mPath);
        result.problems()
                .forEach(
                        problem ->
                                LOG.warn(
                                        "The settings file is not valid.",
                                        LogField.of("problem", problem)));
        if (result.settings().isPresent() && !result.settings().get().equals(mAppliedSettings)) {
            mAppliedSettings = result.settings().get();
            mOnChange.accept(mAppliedSettings);
        }
    }
}
