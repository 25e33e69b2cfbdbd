package org.filbertrudder.policy.freshness;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/**
 * Tries all short sequences of writes, losses, reads and exchanges with two instances, and checks
 * that none goes back and that no response confirms a version that is not the newest.
 */
public class OperatorStateExhaustiveTest {

    private static final int MAX_STEPS = 7;
    private static final int MAX_VERSIONS = 3;
    private static final int MAX_LOSSES = 2;

    /** A time that passes at each step, in milliseconds. */
    private static final long STEP_MS = 10;

    /** What can happen next. */
    private enum Step {
        WRITE,
        LOSE_ONE_CHANGE,
        LOSE_TWO_CHANGES,
        WRITE_AGAIN,
        FIRST_READS,
        SECOND_READS,
        SECOND_ASKS_FIRST,
        TIME_PASSES
    }

    @Test
    public void noSequenceGoesBackOrConfirmsAnOlderVersion() {
        List<String> violations = new ArrayList<>();
        long sequences = extend(new ArrayList<>(), violations);

        assertEquals(violations.toString(), "[]", "of " + sequences + " sequences");
    }

    private static long extend(List<Step> steps, List<String> violations) {
        if (violations.size() > 3) {
            return 0;
        }
        if (steps.size() == MAX_STEPS) {
            play(steps).ifPresent(what -> violations.add(what + " after " + steps));
            return 1;
        }
        long sequences = 0;
        for (Step step : Step.values()) {
            steps.add(step);
            if (isUseful(steps)) {
                sequences += extend(steps, violations);
            }
            steps.remove(steps.size() - 1);
        }
        return sequences;
    }

    /** Leaves out sequences beyond the limits, and those that repeat a step without effect. */
    private static boolean isUseful(List<Step> steps) {
        Step last = steps.get(steps.size() - 1);
        boolean isRepeated = steps.size() > 1 && steps.get(steps.size() - 2) == last;
        long writes = steps.stream().filter(step -> step == Step.WRITE).count();
        long losses = steps.stream().filter(OperatorStateExhaustiveTest::isLoss).count();
        return writes <= MAX_VERSIONS
                && losses <= MAX_LOSSES
                && !(isRepeated && last != Step.WRITE && !isLoss(last));
    }

    private static boolean isLoss(Step step) {
        return step == Step.LOSE_ONE_CHANGE || step == Step.LOSE_TWO_CHANGES;
    }

    /** Plays a sequence; returns what is wrong, if anything. */
    private static Optional<String> play(List<Step> steps) {
        SimulatedStore store = new SimulatedStore();
        store.writeVersion();
        OperatorStateTracker first = new OperatorStateTracker();
        OperatorStateTracker second = new OperatorStateTracker();
        long nowMs = 0;
        // Operators write again within the time that a new era is given to settle.
        long writtenAgainByMs = Long.MAX_VALUE;
        Optional<String> violation = Optional.empty();
        read(first, store, nowMs);
        read(second, store, nowMs);
        for (Step step : steps) {
            nowMs += STEP_MS;
            switch (step) {
                case WRITE -> {
                    store.writeAgain();
                    store.writeVersion();
                }
                case LOSE_ONE_CHANGE, LOSE_TWO_CHANGES -> {
                    store.restore(step == Step.LOSE_ONE_CHANGE ? 1 : 2);
                    writtenAgainByMs = nowMs + OperatorStateTracker.CONFIRMATION_DELAY_MS / 2;
                }
                case WRITE_AGAIN -> store.writeAgain();
                case FIRST_READS -> violation = first(violation, checkedRead(first, store, nowMs));
                case SECOND_READS ->
                        violation = first(violation, checkedRead(second, store, nowMs));
                case SECOND_ASKS_FIRST ->
                        violation = first(violation, exchange(first, second, nowMs));
                default -> nowMs += OperatorStateTracker.CONFIRMATION_DELAY_MS;
            }
            if (nowMs >= writtenAgainByMs) {
                store.writeAgain();
                writtenAgainByMs = Long.MAX_VALUE;
            }
        }
        return first(violation, checkRecovery(first, second, store));
    }

    private static Optional<String> first(Optional<String> found, Optional<String> other) {
        return found.isPresent() ? found : other;
    }

    private static boolean read(OperatorStateTracker instance, SimulatedStore store, long nowMs) {
        instance.offer(store.position(), true, nowMs);
        return instance.confirms(store.position(), nowMs);
    }

    private static Optional<String> checkedRead(
            OperatorStateTracker instance, SimulatedStore store, long nowMs) {
        long before = instance.position().version();
        boolean confirms = read(instance, store, nowMs);
        long version = instance.position().version();
        if (version < before) {
            return Optional.of("went back from " + before + " to " + version);
        }
        return confirms && version < store.acknowledged()
                ? Optional.of("confirmed " + version + " of " + store.acknowledged())
                : Optional.empty();
    }

    private static Optional<String> exchange(
            OperatorStateTracker from, OperatorStateTracker to, long nowMs) {
        long before = to.position().version();
        to.offer(from.position(), true, nowMs);
        return to.position().version() < before
                ? Optional.of("went back from " + before + " by an exchange")
                : Optional.empty();
    }

    /** Checks that both instances confirm the newest version once the operators have written. */
    private static Optional<String> checkRecovery(
            OperatorStateTracker first, OperatorStateTracker second, SimulatedStore store) {
        store.writeAgain();
        long laterMs = 1_000_000;
        for (OperatorStateTracker instance : List.of(first, second)) {
            read(instance, store, laterMs);
            boolean confirms =
                    read(instance, store, laterMs + OperatorStateTracker.CONFIRMATION_DELAY_MS);
            if (!confirms || instance.position().version() != store.acknowledged()) {
                return Optional.of("did not follow version " + store.acknowledged());
            }
        }
        return Optional.empty();
    }
}
