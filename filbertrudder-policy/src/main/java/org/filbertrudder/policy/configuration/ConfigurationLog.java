package org.filbertrudder.policy.configuration;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.filbertrudder.model.Change;
import org.filbertrudder.model.Configuration;

/** Keeps the configuration in force and the recent changes; never goes back to an older one. */
public final class ConfigurationLog {

    private final int mRetainedChanges;
    private final Deque<Change> mRecent = new ArrayDeque<>();
    private Configuration mCurrent = Configuration.EMPTY;
    private long mForkedOffers;

    /** Creates a log that retains the given number of changes for members that are behind. */
    public ConfigurationLog(int retainedChanges) {
        mRetainedChanges = retainedChanges;
    }

    /** Returns the configuration in force. */
    public Configuration current() {
        return mCurrent;
    }

    /** Returns how many offers belonged to another history. */
    public long forkedOffers() {
        return mForkedOffers;
    }

    /** Adopts the change if it directly follows the configuration in force. */
    public AdoptionResult offer(Change change) {
        if (change.revision() <= mCurrent.revision()) {
            return checkHistory(change);
        }
        if (change.revision() > mCurrent.revision() + 1) {
            return AdoptionResult.GAP;
        }
        if (!change.previousDigest().equals(mCurrent.digest())) {
            mForkedOffers++;
            return AdoptionResult.FORKED;
        }
        mCurrent = mCurrent.apply(change);
        retain(change);
        return AdoptionResult.ADOPTED;
    }

    /** Adopts the configuration if it is newer than the one in force. */
    public AdoptionResult offer(Configuration snapshot) {
        if (snapshot.revision() < mCurrent.revision()) {
            return AdoptionResult.STALE;
        }
        if (snapshot.revision() == mCurrent.revision()) {
            if (snapshot.digest().equals(mCurrent.digest())) {
                return AdoptionResult.STALE;
            }
            mForkedOffers++;
            return AdoptionResult.FORKED;
        }
        mCurrent = snapshot;
        mRecent.clear();
        return AdoptionResult.ADOPTED;
    }

    private AdoptionResult checkHistory(Change change) {
        Optional<Change> known =
                mRecent.stream().filter(c -> c.revision() == change.revision()).findFirst();
        if (known.isPresent() && !known.get().changeId().equals(change.changeId())) {
            mForkedOffers++;
            return AdoptionResult.FORKED;
        }
        return AdoptionResult.STALE;
    }

    private void retain(Change change) {
        mRecent.addLast(change);
        while (mRecent.size() > mRetainedChanges) {
            mRecent.removeFirst();
        }
    }

    /**
     * Returns the changes after a revision, oldest first.
     *
     * @return absent if some of them are no longer retained; a snapshot is needed then
     */
    public Optional<List<Change>> changesAfter(long revision) {
        if (revision >= mCurrent.revision()) {
            return Optional.of(List.of());
        }
        if (mRecent.isEmpty() || mRecent.peekFirst().revision() > revision + 1) {
            return Optional.empty();
        }
        return Optional.of(
                mRecent.stream().filter(change -> change.revision() > revision).toList());
    }

    /** Returns the retained changes, oldest first. */
    public List<Change> recent() {
        return List.copyOf(mRecent);
    }
}
