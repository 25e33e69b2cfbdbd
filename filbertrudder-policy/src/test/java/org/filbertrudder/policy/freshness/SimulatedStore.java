package org.filbertrudder.policy.freshness;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.StoreEra;

/**
 * A store with a configuration and evacuations that can return from a copy of any earlier content,
 * and an operator who remembers what the store has acknowledged.
 */
final class SimulatedStore {

    private final List<Content> mHistory = new ArrayList<>();
    private Content mContent = new Content(1, 0, 0, Set.of());
    private long mEra = 1;
    private long mAcknowledged;
    private Set<FailureDomainId> mEvacuated = Set.of();

    SimulatedStore() {
        mHistory.add(mContent);
    }

    /** The content at one moment; the configuration has its own revision. */
    record Content(
            long revision,
            long configurationRevision,
            long version,
            Set<FailureDomainId> evacuations) {}

    /** Writes the next version of the configuration. */
    void writeVersion() {
        mAcknowledged++;
        putVersion();
    }

    private void putVersion() {
        long revision = mContent.revision() + 1;
        replace(new Content(revision, revision, mAcknowledged, mContent.evacuations()));
    }

    /** Marks a domain as evacuated, or takes the mark away. */
    void setEvacuated(FailureDomainId domain, boolean evacuated) {
        Set<FailureDomainId> changed = new HashSet<>(mEvacuated);
        if (evacuated ? changed.add(domain) : changed.remove(domain)) {
            mEvacuated = Set.copyOf(changed);
            putEvacuations();
        }
    }

    private void putEvacuations() {
        replace(
                new Content(
                        mContent.revision() + 1,
                        mContent.configurationRevision(),
                        mContent.version(),
                        mEvacuated));
    }

    private void replace(Content content) {
        mContent = content;
        mHistory.add(content);
    }

    /** Returns from the content of some changes before, which may belong to an earlier era. */
    void restore(int changesBack) {
        mContent = mHistory.get(Math.max(0, mHistory.size() - 1 - changesBack));
        mHistory.add(mContent);
        mEra++;
    }

    /** Lets the operator write again what the store lacks. */
    void writeAgain() {
        if (mContent.version() != mAcknowledged) {
            putVersion();
        }
        if (!mContent.evacuations().equals(mEvacuated)) {
            putEvacuations();
        }
    }

    /** Returns whether the store has all that the operator wrote. */
    boolean isComplete() {
        return mContent.version() == mAcknowledged && mContent.evacuations().equals(mEvacuated);
    }

    StorePosition position() {
        return new StorePosition(era(), mContent.configurationRevision(), mContent.version());
    }

    StoreEra era() {
        return new StoreEra(mEra);
    }

    Set<FailureDomainId> evacuations() {
        return mContent.evacuations();
    }

    /** Returns the newest version that was acknowledged. */
    long acknowledged() {
        return mAcknowledged;
    }

    /** Returns the domains that the operator wants to be evacuated. */
    Set<FailureDomainId> evacuated() {
        return mEvacuated;
    }
}
