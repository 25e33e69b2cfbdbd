package org.filbertrudder.entry.control;

import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.store.DirectoryEntry;
import org.filbertrudder.store.PlatformDirectory;

/** Publishes this instance in the platform's caller directory while it accepts work. */
final class CallerDirectoryPublisher {

    private static final ComponentLogger LOG = ComponentLogger.of("directory");
    private static final long PUBLICATION_INTERVAL_MS = 10_000;

    private final PlatformDirectory mPlatform;
    private final String mScheme;
    private long mNextPublicationMs;

    CallerDirectoryPublisher(PlatformDirectory platform, boolean tlsEnabled) {
        mPlatform = platform;
        mScheme = tlsEnabled ? "https" : "http";
    }

    /** Publishes the address for callers if the publication interval has passed. */
    void tick(Member self, long nowMs) {
        if (nowMs < mNextPublicationMs) {
            return;
        }
        mNextPublicationMs = nowMs + PUBLICATION_INTERVAL_MS;
        String url = mScheme + "://" + self.host() + ":" + self.callerPort();
        mPlatform
                .publish(new DirectoryEntry(self.id().value(), self.region().value(), url))
                .subscribe()
                .with(ignored -> {}, CallerDirectoryPublisher::logFailure);
    }

    /** Removes the instance from the directory. */
    void withdraw(Member self) {
        mPlatform
                .withdraw(self.id().value())
                .subscribe()
                .with(ignored -> {}, CallerDirectoryPublisher::logFailure);
    }

    private static void logFailure(Throwable failure) {
        LOG.debug(
                "The caller directory could not be updated.",
                LogField.of("error", failure.getMessage()));
    }
}
