package org.filbertrudder.entry.control;

import org.filbertrudder.entry.log.Field;
import org.filbertrudder.entry.log.PartLog;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.store.DirectoryEntry;
import org.filbertrudder.store.PlatformDirectory;

/** Keeps this instance in the platform's directory for callers while it takes work. */
final class CallerDirectoryPublisher {

    private static final PartLog LOG = PartLog.of("directory");
    private static final long PUBLICATION_MS = 10_000;

    private final PlatformDirectory mPlatform;
    private final String mScheme;
    private long mNextPublicationMs;

    CallerDirectoryPublisher(PlatformDirectory platform, boolean secure) {
        mPlatform = platform;
        mScheme = secure ? "https" : "http";
    }

    /** Publishes the address for callers if that is due. */
    void tick(Member self, long nowMs) {
        if (nowMs < mNextPublicationMs) {
            return;
        }
        mNextPublicationMs = nowMs + PUBLICATION_MS;
        String url = mScheme + "://" + self.host() + ":" + self.callerPort();
        mPlatform
                .publish(new DirectoryEntry(self.id().value(), self.region().value(), url))
                .subscribe()
                .with(done -> {}, CallerDirectoryPublisher::logFailure);
    }

    /** Takes the instance out of the directory. */
    void withdraw(Member self) {
        mPlatform
                .withdraw(self.id().value())
                .subscribe()
                .with(done -> {}, CallerDirectoryPublisher::logFailure);
    }

    private static void logFailure(Throwable failure) {
        LOG.debug(
                "The caller directory cannot be reached.", Field.of("error", failure.getMessage()));
    }
}
