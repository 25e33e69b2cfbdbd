package org.filbertrudder.policy.freshness;

import java.util.HashMap;
import java.util.Map;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.StoreEra;

/**
 * Decides which of the operators' states an instance follows, and which responses confirm that no
 * newer one exists.
 *
 * <p>Configurations are ordered by their own version, so an instance never goes back behind a
 * version that it has followed, whatever the store contains. A store that returns from a copy
 * begins a new era and may lack what it has acknowledged until the operators have written it again.
 * During that time, a response proves nothing about what was lost, so it does not confirm the
 * state, and what is missing does not count as removed.
 *
 * <p>All times are readings of one steady clock in milliseconds.
 */
public final class OperatorStateTracker {

    /**
     * How long after the start of an era a response may lack an acknowledged version without
     * showing it, in milliseconds.
     */
    public static final long CONFIRMATION_DELAY_MS = 1_000;

    /**
     * How long after the start of an era an evacuation that is missing may have been lost, in
     * milliseconds.
     */
    public static final long REMOVAL_DELAY_MS = 2_500;

    /**
     * How long after the start of an era a store that has an older version than the one in force is
     * not trusted, in milliseconds. After that, the operators are taken not to write it again.
     */
    public static final long MAX_CATCH_UP_MS = 10_000;

    private final Map<FailureDomainId, EvacuationMark> mEvacuations = new HashMap<>();

    private StorePosition mPosition = StorePosition.NONE;
    private StoreEra mEra = StoreEra.UNREPORTED;
    private long mEraSinceMs;
    private boolean mIsFirstEra = true;

    /** Lists what a response means for the configuration in force. */
    public enum Verdict {
        /** A newer configuration to follow. */
        NEWER,
        /** The configuration in force. */
        SAME,
        /** An older configuration, to be passed over. */
        OLDER
    }

    /** Returns where the configuration in force was read. */
    public StorePosition position() {
        return mPosition;
    }

    /** Returns the newest era that is known. */
    public StoreEra era() {
        return mEra;
    }

    /** Records an era that a response has reported; returns whether a new era has begun. */
    public boolean noteEra(StoreEra era, long nowMs) {
        if (!era.isAfter(mEra)) {
            return false;
        }
        mIsFirstEra = mEra.equals(StoreEra.UNREPORTED);
        mEra = era;
        mEraSinceMs = nowMs;
        return !mIsFirstEra;
    }

    /**
     * Records how long a peer has known an era, which may have begun before this instance started;
     * returns whether a new era has begun.
     */
    public boolean noteEraAge(StoreEra era, long ageMs, long nowMs) {
        boolean isNew = noteEra(era, nowMs);
        if (mIsFirstEra && era.equals(mEra)) {
            mIsFirstEra = false;
            mEraSinceMs = nowMs - ageMs;
        }
        return isNew;
    }

    /** Returns how long the newest era has been known; negative if it is the first one. */
    public long eraAgeMs(long nowMs) {
        return mIsFirstEra ? -1 : nowMs - mEraSinceMs;
    }

    /** Returns whether the operators may still have to write again what the store has lost. */
    public boolean isSettling(long nowMs) {
        return !mIsFirstEra && nowMs - mEraSinceMs < REMOVAL_DELAY_MS;
    }

    /**
     * Compares a configuration from the store or from a peer with the one in force, and follows it
     * if it is newer.
     *
     * @param isSameDocument whether the document equals the one in force
     */
    public Verdict offer(StorePosition found, boolean isSameDocument, long nowMs) {
        noteEra(found.era(), nowMs);
        if (found.version() < mPosition.version()) {
            return Verdict.OLDER;
        }
        boolean isNewerVersion = found.version() > mPosition.version();
        boolean isLaterWrite = found.compareTo(mPosition) > 0;
        if (isNewerVersion || isLaterWrite) {
            mPosition = found;
        }
        return isNewerVersion || (isLaterWrite && !isSameDocument) ? Verdict.NEWER : Verdict.SAME;
    }

    /**
     * Returns whether a response of the store, which has been offered, proves that no newer
     * configuration had been acknowledged when it was requested.
     */
    public boolean confirms(StorePosition found, long requestedMs) {
        if (mEra.isAfter(found.era())) {
            return false;
        }
        long eraAgeMs = requestedMs - mEraSinceMs;
        if (found.version() < mPosition.version()) {
            return eraAgeMs >= MAX_CATCH_UP_MS;
        }
        return mIsFirstEra || eraAgeMs >= CONFIRMATION_DELAY_MS;
    }

    /**
     * Returns whether a confirmation that a peer has received counts here as well. A peer that
     * started after an era had begun does not know whether its store has settled.
     *
     * @param era the newest era that the peer knows
     * @param eraAgeMs how long the peer has known it; negative if it is the peer's first one
     * @param asOfMs when the confirmation was requested from the store
     */
    public boolean trusts(StoreEra era, long eraAgeMs, long asOfMs) {
        return mIsFirstEra || eraAgeMs >= 0 || !era.equals(mEra) || asOfMs >= confirmsFromMs();
    }

    /** Returns the time from which a request confirms the version in force in the newest era. */
    public long confirmsFromMs() {
        return mEraSinceMs + CONFIRMATION_DELAY_MS;
    }

    /**
     * Applies the evacuations that a response of the store or of a peer names. One that is missing
     * has ended if it was last named before the response was complete.
     *
     * @param era the newest era that the sender knows
     * @param named the evacuated domains, and the era in which the store last had each mark
     * @param asOfMs the earliest time at which the response may have been complete
     */
    public void updateEvacuations(
            StoreEra era, Map<FailureDomainId, StoreEra> named, long asOfMs, long nowMs) {
        if (mEra.isAfter(era)) {
            return;
        }
        boolean mayBeLost = isSettling(nowMs);
        mEvacuations
                .values()
                .removeIf(
                        mark -> mark.namedMs() < asOfMs && !(mayBeLost && era.isAfter(mark.era())));
        named.forEach(
                (domain, seen) ->
                        mEvacuations.merge(
                                domain, new EvacuationMark(seen, nowMs), EvacuationMark::merge));
    }

    /** Returns the evacuated domains, and the era in which the store last had each mark. */
    public Map<FailureDomainId, StoreEra> evacuations() {
        Map<FailureDomainId, StoreEra> evacuations = new HashMap<>();
        mEvacuations.forEach((domain, mark) -> evacuations.put(domain, mark.era()));
        return evacuations;
    }

    /** Holds the era in which the store last had a mark, and when a response last named it. */
    private record EvacuationMark(StoreEra era, long namedMs) {

        EvacuationMark merge(EvacuationMark other) {
            return new EvacuationMark(
                    other.era.isAfter(era) ? other.era : era, Math.max(namedMs, other.namedMs));
        }
    }
}
