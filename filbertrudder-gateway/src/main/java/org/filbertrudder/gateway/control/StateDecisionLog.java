package org.filbertrudder.gateway.control;

import java.util.concurrent.atomic.AtomicLong;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.policy.freshness.OperatorStateTracker.Verdict;
import org.filbertrudder.policy.freshness.StorePosition;

/**
 * Logs whether a state from the store or from a peer was followed and whether it confirmed the
 * state in force. Consecutive equal decisions are logged once.
 */
final class StateDecisionLog {

    private static final ComponentLogger LOG = ComponentLogger.of("state");

    private final AtomicLong mPassedOver = new AtomicLong();
    private final AtomicLong mUnconfirmed = new AtomicLong();
    private Entry mLast;

    /** Holds the values of a logged decision except those that differ each time. */
    private record Entry(
            Verdict verdict, boolean confirms, StorePosition found, StorePosition known) {}

    /**
     * Logs a decision.
     *
     * @param confirms whether the state proves that no newer one existed
     * @param found where the state was read
     * @param known where the state in force before was read
     * @param source who sent the state
     * @param ageMs the time since the state was complete, in milliseconds
     */
    void log(
            Verdict verdict,
            boolean confirms,
            StorePosition found,
            StorePosition known,
            String source,
            long ageMs) {
        if (verdict == Verdict.OLDER) {
            mPassedOver.incrementAndGet();
        }
        if (!confirms) {
            mUnconfirmed.incrementAndGet();
        }
        Entry entry = new Entry(verdict, confirms, found, known);
        boolean isRoutine = verdict == Verdict.SAME && confirms && found.equals(known);
        if (!isRoutine && !entry.equals(mLast)) {
            LOG.info(
                    "A state was received.",
                    LogField.of("verdict", verdict),
                    LogField.of("confirms", confirms),
                    LogField.of("from", source),
                    LogField.of("era", found.era()),
                    LogField.of("revision", found.revision()),
                    LogField.of("version", found.version()),
                    LogField.of("knownEra", known.era()),
                    LogField.of("knownRevision", known.revision()),
                    LogField.of("knownVersion", known.version()),
                    LogField.of("ageMs", ageMs));
        }
        mLast = entry;
    }

    /** Returns the number of states that were passed over; may be called from any thread. */
    long passedOver() {
        return mPassedOver.get();
    }

    /**
     * Returns the number of states that did not confirm the state in force; may be called from any
     * thread.
     */
    long unconfirmed() {
        return mUnconfirmed.get();
    }
}
