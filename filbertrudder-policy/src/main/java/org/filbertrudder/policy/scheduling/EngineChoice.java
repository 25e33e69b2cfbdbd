package org.filbertrudder.policy.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.policy.routing.PromptDemand;

/**
 * Chooses the engines for the requests of one pass.
 *
 * <p>Capacity only shrinks during a pass. An engine without a free slot or with a full backlog is
 * therefore evaluated once for all requests, and a request that is not smaller than one without
 * capacity is not evaluated at all.
 */
final class EngineChoice {

    /** The difference of costs up to which engines count as equal, in milliseconds. */
    private static final double EQUAL_COST_MS = 50;

    /**
     * The time for which a request waits for a blocked engine without another comparison of costs,
     * in milliseconds. The number of comparisons in a pass is bounded, and without this interval
     * the same requests would use them up in every pass.
     */
    private static final long COMPARISON_INTERVAL_MS = 50;

    /** The part of the latency goal that a request may wait for a cheaper engine. */
    private static final double MAX_WAITED_PART = 0.4;

    private final long mNowMs;
    private final List<ScheduledEngine> mOpen = new ArrayList<>();
    private final List<ScheduledEngine> mBlocked = new ArrayList<>();
    private final Map<Set<EndpointId>, Long> mTooLargeTokens = new HashMap<>();
    private final Set<SharedPart> mPassedOver = new HashSet<>();
    private final List<ScheduledEngine> mStartable = new ArrayList<>();
    private double[] mCostsMs = new double[0];
    private int mUsable;
    private long mEvaluations;

    /** Lists the outcomes of a choice. */
    enum Outcome {
        START,
        WAIT_FOR_CHEAPER_ENGINE,
        NO_CAPACITY
    }

    /** Represents a choice; the engine is null unless the request can start. */
    record Choice(Outcome outcome, ScheduledEngine engine) {}

    private static final Choice NO_CAPACITY = new Choice(Outcome.NO_CAPACITY, null);
    private static final Choice WAIT = new Choice(Outcome.WAIT_FOR_CHEAPER_ENGINE, null);

    EngineChoice(Collection<ScheduledEngine> engines, long nowMs) {
        mNowMs = nowMs;
        for (ScheduledEngine engine : engines) {
            if (engine.isUsable()) {
                mUsable++;
                if (hasFreeSlot(engine)) {
                    mOpen.add(engine);
                }
            }
        }
        mCostsMs = new double[mOpen.size()];
    }

    private boolean hasFreeSlot(ScheduledEngine engine) {
        return engine.openStarts() < engine.slots() && engine.room().freeSlots(mNowMs) > 0;
    }

    /** Returns the number of usable engines. */
    int usable() {
        return mUsable;
    }

    /** Returns the number of pairs of a request and an engine that were evaluated. */
    long evaluations() {
        return mEvaluations;
    }

    /** Returns the outcome if it follows from that of another request; empty otherwise. */
    Optional<Outcome> knownOutcome(WaitingStart waiting) {
        StartRequest request = waiting.request();
        Long tooLarge = mTooLargeTokens.get(request.excluded());
        if (mOpen.isEmpty() || tooLarge != null && request.prompt().memoryTokens() >= tooLarge) {
            return Optional.of(Outcome.NO_CAPACITY);
        }
        return mayWait(waiting)
                        && (mPassedOver.contains(SharedPart.of(request)) || isStillAwaited(waiting))
                ? Optional.of(Outcome.WAIT_FOR_CHEAPER_ENGINE)
                : Optional.empty();
    }

    /** Returns whether the engine for which the request waits is still blocked. */
    private boolean isStillAwaited(WaitingStart waiting) {
        ScheduledEngine engine = waiting.awaitedEngine(mNowMs);
        return engine != null
                && engine.isUsable()
                && hasFreeSlot(engine)
                && engine.room().isBlockedByBacklog(waiting.request().prompt(), mNowMs);
    }

    /**
     * Chooses the engine for a request.
     *
     * @param mayWait whether the request may wait for an engine that is cheaper but blocked
     */
    Choice choose(WaitingStart waiting, boolean mayWait) {
        findStartable(waiting);
        if (mStartable.isEmpty()) {
            mTooLargeTokens.merge(
                    waiting.request().excluded(),
                    waiting.request().prompt().memoryTokens(),
                    Math::min);
            return NO_CAPACITY;
        }
        double lowestMs = lowestCostMs(waiting);
        if (mayWait && mayWait(waiting) && isBlockedEngineCheaper(waiting, lowestMs)) {
            if (!waiting.request().prompt().affinityKey().isEmpty()) {
                mPassedOver.add(SharedPart.of(waiting.request()));
            }
            return WAIT;
        }
        return new Choice(Outcome.START, preferred(waiting, lowestMs));
    }

    private boolean mayWait(WaitingStart waiting) {
        return waiting.ageMs(mNowMs) < MAX_WAITED_PART * waiting.request().goalMs();
    }

    /** Finds the engines that can start the request; sorts out those that can start none. */
    private void findStartable(WaitingStart waiting) {
        PromptDemand prompt = waiting.request().prompt();
        mStartable.clear();
        for (int i = mOpen.size() - 1; i >= 0; i--) {
            ScheduledEngine engine = mOpen.get(i);
            if (waiting.isExcluded(engine.id())) {
                continue;
            }
            mEvaluations++;
            if (!hasFreeSlot(engine)) {
                removeOpen(i);
            } else if (engine.room().canStart(prompt, mNowMs)) {
                mStartable.add(engine);
            } else if (engine.room().isBlockedByBacklog(prompt, mNowMs)) {
                mBlocked.add(engine);
                removeOpen(i);
            }
        }
    }

    /** Removes an element in constant time; the order has no meaning. */
    private void removeOpen(int index) {
        ScheduledEngine last = mOpen.remove(mOpen.size() - 1);
        if (index < mOpen.size()) {
            mOpen.set(index, last);
        }
    }

    private double lowestCostMs(WaitingStart waiting) {
        double lowestMs = Double.MAX_VALUE;
        for (int i = 0; i < mStartable.size(); i++) {
            mCostsMs[i] = costMs(mStartable.get(i), waiting);
            lowestMs = Math.min(lowestMs, mCostsMs[i]);
        }
        return lowestMs;
    }

    private double costMs(ScheduledEngine engine, WaitingStart waiting) {
        long remainingMs = waiting.deadlineMs() - mNowMs;
        return engine.room().costMs(waiting.request().prompt(), remainingMs, mNowMs);
    }

    /** Returns the engine with the highest affinity among the cheapest ones. */
    private ScheduledEngine preferred(WaitingStart waiting, double lowestMs) {
        boolean shared = !waiting.request().prompt().affinityKey().isEmpty();
        double maxMs = shared ? lowestMs + EQUAL_COST_MS : lowestMs;
        ScheduledEngine preferred = null;
        long highest = Long.MIN_VALUE;
        for (int i = 0; i < mStartable.size(); i++) {
            long affinity = mStartable.get(i).affinity(waiting.affinityHash());
            if (mCostsMs[i] <= maxMs && affinity > highest) {
                preferred = mStartable.get(i);
                highest = affinity;
            }
        }
        return preferred;
    }

    private boolean isBlockedEngineCheaper(WaitingStart waiting, double lowestMs) {
        for (ScheduledEngine engine : mBlocked) {
            if (!waiting.isExcluded(engine.id())) {
                mEvaluations++;
                if (costMs(engine, waiting) <= lowestMs - EQUAL_COST_MS
                        && engine.room().isBlockedByBacklog(waiting.request().prompt(), mNowMs)) {
                    waiting.awaitEngine(engine, mNowMs + COMPARISON_INTERVAL_MS);
                    return true;
                }
            }
        }
        return false;
    }

    /** Identifies requests that prefer the same engines. */
    private record SharedPart(String affinityKey, Set<EndpointId> excluded) {

        static SharedPart of(StartRequest request) {
            return new SharedPart(request.prompt().affinityKey(), request.excluded());
        }
    }
}
