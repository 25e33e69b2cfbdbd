package org.filbertrudder.gateway.control;

import java.util.concurrent.atomic.AtomicLong;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.store.StoreEra;

/**
 * Logs why a state from the store or from a peer was applied, taken as a confirmation or passed
 * over. Consecutive equal decisions are logged once.
 */
final class StateDecisionLog {

    private static final ComponentLogger LOG = ComponentLogger.of("state");

    private final AtomicLong mPassedOver = new AtomicLong();
    private final AtomicLong mConfirmedInOtherEra = new AtomicLong();
    private Entry mLast;

    /** Lists the decisions about a state. */
    enum Decision {
        APPLIED,
        CONFIRMED,
        PASSED_OVER
    }

    /** Holds the values of a logged decision except those that differ each time. */
    private record Entry(
            Decision decision,
            StoreEra era,
            long revision,
            StoreEra knownEra,
            long knownRevision) {}

    /** Logs a decision about a state, given the state known before. */
    void log(
            Decision decision,
            OperatorState state,
            OperatorState known,
            long knownVersion,
            String source,
            long ageMs) {
        boolean otherEra = !state.era().equals(known.era());
        if (decision == Decision.PASSED_OVER) {
            mPassedOver.incrementAndGet();
        } else if (decision == Decision.CONFIRMED && otherEra) {
            mConfirmedInOtherEra.incrementAndGet();
        }
        Entry entry =
                new Entry(decision, state.era(), state.revision(), known.era(), known.revision());
        boolean isRoutine = decision == Decision.CONFIRMED && !otherEra;
        if (!isRoutine && !entry.equals(mLast)) {
            LOG.info(
                    "A state was received.",
                    LogField.of("decision", decision),
                    LogField.of("from", source),
                    LogField.of("era", state.era()),
                    LogField.of("revision", state.revision()),
                    LogField.of("evacuations", state.evacuations()),
                    LogField.of("knownEra", known.era()),
                    LogField.of("knownRevision", known.revision()),
                    LogField.of("knownVersion", knownVersion),
                    LogField.of("ageMs", ageMs));
        }
        mLast = entry;
    }

    /** Returns the number of states that were passed over; may be called from any thread. */
    long passedOver() {
        return mPassedOver.get();
    }

    /**
     * Returns how often a state was confirmed in an era other than that in which it was read; may
     * be called from any thread.
     */
    long confirmedInOtherEra() {
        return mConfirmedInOtherEra.get();
    }
}
