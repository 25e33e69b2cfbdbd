package org.filbertrudder.gateway.traffic;

import java.util.List;
import java.util.Optional;
import org.filbertrudder.gateway.control.GatewaySnapshot;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.policy.membership.StrengthRank;

/** Selects the instance that schedules a service in the region, and notices when it is silent. */
final class SchedulerChoice {

    /** The number of instances that take turns while the preferred ones do not answer. */
    private static final int CANDIDATES = 3;

    /** The time without a message after which the next candidate is asked, in milliseconds. */
    private static final long SILENCE_MS = 600;

    private final String mKey;
    private GatewaySnapshot mSnapshot;
    private List<Member> mCandidates = List.of();
    private int mIndex;
    private int mUnansweredChanges;
    private long mSilentSinceMs;

    SchedulerChoice(ServiceId service) {
        mKey = key(service);
    }

    /** Returns the instances of a region that may schedule the service, the preferred one first. */
    static List<Member> candidates(ServiceId service, RegionId region, GatewaySnapshot snapshot) {
        return candidates(key(service), region, snapshot);
    }

    private static List<Member> candidates(String key, RegionId region, GatewaySnapshot snapshot) {
        return StrengthRank.first(key, snapshot.membersAcceptingWorkIn(region), CANDIDATES);
    }

    private static String key(ServiceId service) {
        return "start " + service;
    }

    /** Returns the instance to ask; empty if there is none. */
    Optional<Member> current() {
        return mCandidates.isEmpty() ? Optional.empty() : Optional.of(mCandidates.get(mIndex));
    }

    /** Returns whether the instance is the one to ask. */
    boolean isCurrent(InstanceId id) {
        return current().filter(member -> member.id().equals(id)).isPresent();
    }

    /** Returns the preferred instance if another one is asked for the time being. */
    Optional<Member> preferredElsewhere() {
        return mIndex == 0 ? Optional.empty() : Optional.of(mCandidates.get(0));
    }

    /** Applies the current members; returns whether another instance is to be asked now. */
    boolean update(GatewaySnapshot snapshot, long nowMs) {
        if (snapshot == mSnapshot) {
            return false;
        }
        mSnapshot = snapshot;
        Optional<InstanceId> before = current().map(Member::id);
        Optional<InstanceId> preferredBefore = mCandidates.stream().findFirst().map(Member::id);
        mCandidates = candidates(mKey, snapshot.self().region(), snapshot);
        boolean samePreferred =
                preferredBefore.equals(mCandidates.stream().findFirst().map(Member::id));
        mIndex = samePreferred ? Math.max(0, before.map(this::indexOf).orElse(0)) : 0;
        boolean changed = !before.equals(current().map(Member::id));
        if (changed) {
            mSilentSinceMs = nowMs;
            mUnansweredChanges = 0;
        }
        return changed;
    }

    private int indexOf(InstanceId id) {
        for (int i = 0; i < mCandidates.size(); i++) {
            if (mCandidates.get(i).id().equals(id)) {
                return i;
            }
        }
        return -1;
    }

    /** Asks the next candidate; returns false if all have been asked since the last answer. */
    boolean askNext(long nowMs) {
        mUnansweredChanges++;
        if (mUnansweredChanges >= mCandidates.size()) {
            return false;
        }
        mIndex = (mIndex + 1) % mCandidates.size();
        mSilentSinceMs = nowMs;
        return true;
    }

    /** Asks the preferred instance again. */
    void returnToPreferred(long nowMs) {
        mIndex = 0;
        heard(nowMs);
    }

    /** Starts to expect messages. */
    void expect(long nowMs) {
        mSilentSinceMs = Math.max(mSilentSinceMs, nowMs);
        mUnansweredChanges = 0;
    }

    /** Records a message of the instance that is asked. */
    void heard(long nowMs) {
        mSilentSinceMs = nowMs;
        mUnansweredChanges = 0;
    }

    /** Excludes a time in which this instance did not read from the silence. */
    void exclude(long heldUpMs) {
        mSilentSinceMs += heldUpMs;
    }

    /** Returns whether the instance that is asked has been silent for too long. */
    boolean isSilent(long nowMs) {
        return nowMs - mSilentSinceMs >= SILENCE_MS;
    }
}
