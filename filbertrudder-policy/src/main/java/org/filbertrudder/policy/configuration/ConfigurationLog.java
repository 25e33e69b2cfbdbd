package org.filbertrudder.policy.configuration;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.filbertrudder.model.Change;
import org.filbertrudder.model.Configuration;

/** Holds the configuration in force and the recent changes; the revision never decreases. */
public final class ConfigurationLog {

    private final int mMaxRetainedChanges;
    private final Deque<Change> mRecentChanges = new ArrayDeque<>();
    private Configuration mCurrent = Configuration.EMPTY;
    private long mForkedOffers;

    /** Creates a log that retains the given number of changes for members that lag behind. */
    public ConfigurationLog(int maxRetainedChanges) {
        mMaxRetainedChanges = maxRetainedChanges;
    }

    /** Returns the configuration in force. */
    public Configuration current() {
        return mCurrent;
    }

    /** Returns the number of offers that belonged to a different history. */
    public long forkedOffers() {
        return mForkedOffers;
    }

    /** Adopts the change if it directly follows the configuration in force. */
    public AdoptionResult offer(Change change) {
        if (change.revision() <= mCurrent.revision()) {
            return compareWithHistory(change);
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
        mRecentChanges.clear();
        return AdoptionResult.ADOPTED;
    }

    private AdoptionResult compareWithHistory(Change change) {
        Optional<Change> retained =
                mRecentChanges.stream()
                        .filter(recent -> recent.revision() == change.revision())
                        .findFirst();
        if (retained.isPresent() && !retained.get().changeId().equals(change.changeId())) {
            mForkedOffers++;
            return AdoptionResult.FORKED;
        }
        return AdoptionResult.STALE;
    }

    private void retain(Change change) {
        mRecentChanges.addLast(change);
        while (mRecentChanges.size() > mMaxRetainedChanges) {
            mRecentChanges.removeFirst();
        }
    }

    /**
     * Returns the changes after a revision, oldest first.
     *
     * @return the changes; empty if some of them are no longer retained and a snapshot is needed
     */
    public Optional<List<Change>> changesAfter(long revision) {
        if (revision >= mCurrent.revision()) {
            return Optional.of(List.of());
        }
        if (mRecentChanges.isEmpty() || mRecentChanges.peekFirst().revision() > revision + 1) {
            return Optional.empty();
        }
        return Optional.of(
                mRecentChanges.stream().filter(change -> change.revision() > revision).toList());
    }

    /** Returns the retained changes, oldest first. */
    public List<Change> recentChanges() {
        return List.copyOf(mRecentChanges);
    }
}
