package org.filbertrudder.policy.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.policy.scheduling.EngineChoice.Choice;
import org.filbertrudder.policy.scheduling.EngineChoice.Outcome;

/** Decides once on the waiting requests of a scheduler. */
final class StartPass {

    /** The minimum interval of passes, in ms; a request that cannot wait for it is decided now. */
    static final long INTERVAL_MS = 5;

    /** The maximum number of requests that are evaluated without a start, to bound a pass. */
    private static final int MAX_SKIPPED = 64;

    /**
     * The interval at which conditions that change slowly are checked for each request, in ms:
     * whether it can end in time and whether another region has capacity for it.
     */
    private static final long CHECK_INTERVAL_MS = 50;

    /** The minimum retry time, in milliseconds. */
    private static final long MIN_RETRY_MS = 250;

    /** The maximum retry time, in ms; callers with deadlines of some seconds use no later one. */
    private static final long MAX_RETRY_MS = 4_000;

    private final Components mComponents;
    private final EngineChoice mChoice;
    private final double mTokensPerMs;
    private final long mNowMs;
    private final List<StartDecision> mDecisions = new ArrayList<>();
    private final List<WaitingStart> mRemaining = new ArrayList<>();
    private int mSkipped;
    private boolean mWaitsForCapacity;

    /** Holds the components of a scheduler that a pass uses. */
    record Components(
            RegionId region,
            SpareRoom spareRoom,
            StartQueue queue,
            EngineStarts engines,
            StartOrder order,
            WaitForecast forecast,
            ReturnPlaces places,
            RegionDemand demand) {}

    StartPass(Components components, long nowMs) {
        mComponents = components;
        mChoice = new EngineChoice(components.engines().engines(), nowMs);
        mTokensPerMs = components.engines().tokensPerMs(nowMs);
        mNowMs = nowMs;
    }

    /** Decides on the requests in key order: starts first, then admission of those that remain. */
    List<StartDecision> run() {
        for (WaitingStart waiting : mComponents.queue().inOrder()) {
            if (!isDecidedByCheck(waiting) && !isStarted(waiting)) {
                mRemaining.add(waiting);
            }
        }
        mComponents.forecast().update(mTokensPerMs, mNowMs);
        double tokensAhead = 0;
        for (WaitingStart waiting : mRemaining) {
            if (!isDecidedByAdmission(waiting, tokensAhead)) {
                tokensAhead += waiting.tokens();
            }
        }
        // A time without usable engines says nothing about how fast they drain the queue.
        mComponents.forecast().setWaiting(mWaitsForCapacity && mChoice.usable() > 0, mNowMs);
        return mDecisions;
    }

    /** Returns the number of pairs of a request and an engine that were evaluated. */
    long evaluations() {
        return mChoice.evaluations();
    }

    private boolean isDecidedByCheck(WaitingStart waiting) {
        if (mNowMs - waiting.checkedMs() < CHECK_INTERVAL_MS) {
            return false;
        }
        waiting.setCheckedMs(mNowMs);
        waiting.updateStartDelay(mComponents.engines().engines(), mNowMs);
        if (!mayRunHere(waiting)) {
            if (!isForwarded(waiting, Double.MAX_VALUE)) {
                refuse(waiting, RefusalReason.NO_ENDPOINT, MIN_RETRY_MS);
            }
            return true;
        }
        if (!waiting.canEndInTime(mComponents.engines().engines(), mNowMs)) {
            refuse(waiting, RefusalReason.CANNOT_END_IN_TIME, MIN_RETRY_MS);
            return true;
        }
        return false;
    }

    private boolean mayRunHere(WaitingStart waiting) {
        StartRequest request = waiting.request();
        return request.allowedRegions().allows(mComponents.region())
                && mComponents.engines().engines().stream()
                        .anyMatch(engine -> engine.isListed() && !waiting.isExcluded(engine.id()));
    }

    private boolean isStarted(WaitingStart waiting) {
        Optional<Outcome> known = mChoice.knownOutcome(waiting);
        if (known.isEmpty() && mSkipped < MAX_SKIPPED) {
            Choice choice = mChoice.choose(waiting, true);
            if (choice.outcome() == Outcome.START) {
                start(waiting, choice.engine());
                return true;
            }
            mSkipped++;
            known = Optional.of(choice.outcome());
        }
        mWaitsForCapacity |= known.orElse(Outcome.NO_CAPACITY) == Outcome.NO_CAPACITY;
        return false;
    }

    private boolean isDecidedByAdmission(WaitingStart waiting, double tokensAhead) {
        double usefulMs =
                hasUsableEngine(waiting)
                        ? waiting.usefulWaitMs(mNowMs)
                        : waiting.remainingWaitMs(mNowMs);
        double forecastMs = forecastMs(waiting, tokensAhead);
        boolean tooLate = forecastMs > usefulMs || usefulMs < INTERVAL_MS;
        if (tooLate && startsInsteadOfRefusal(waiting)) {
            return true;
        }
        boolean startsHere = !tooLate && hasUsableEngine(waiting);
        if ((tooLate || waiting.checkedMs() == mNowMs)
                && isForwarded(waiting, startsHere ? forecastMs : Double.MAX_VALUE)) {
            return true;
        }
        if (tooLate) {
            refuse(waiting, RefusalReason.NO_ROOM_IN_TIME, retryAfterMs(forecastMs));
        }
        return tooLate;
    }

    /** Returns the forecast; without a usable engine, a request may wait until its limit. */
    private double forecastMs(WaitingStart waiting, double tokensAhead) {
        return hasUsableEngine(waiting)
                ? mComponents
                        .forecast()
                        .waitMs(tokensAhead, waiting.request().rank(), waiting.keyMs())
                : Math.max(0, waiting.remainingWaitMs(mNowMs));
    }

    private boolean hasUsableEngine(WaitingStart waiting) {
        return mChoice.usable() > waiting.request().excluded().size()
                || mComponents.engines().engines().stream()
                        .anyMatch(engine -> engine.isUsable() && !waiting.isExcluded(engine.id()));
    }

    /** Starts a request that was skipped without an evaluation or waits for a cheaper engine. */
    private boolean startsInsteadOfRefusal(WaitingStart waiting) {
        Choice choice = mChoice.choose(waiting, false);
        if (choice.outcome() == Outcome.START) {
            start(waiting, choice.engine());
            return true;
        }
        return false;
    }

    private void start(WaitingStart waiting, ScheduledEngine engine) {
        StartRequest request = waiting.request();
        remove(waiting);
        double chargeMs =
                mComponents
                        .order()
                        .charge(
                                request.account(),
                                waiting.tokens() / Math.max(1, mTokensPerMs),
                                mNowMs);
        double delayMs = engine.room().startDelayMs(request.prompt(), mNowMs);
        StartDecision.Start decision =
                new StartDecision.Start(
                        request.id(), engine.id(), delayMs, mNowMs - waiting.submittedMs());
        mComponents
                .engines()
                .start(
                        new EngineStarts.OpenEntry(waiting, engine, decision, chargeMs, mNowMs),
                        request.prompt(),
                        mNowMs);
        mComponents.forecast().recordStart(waiting.tokens(), mTokensPerMs, mNowMs);
        mDecisions.add(decision);
    }

    private boolean isForwarded(WaitingStart waiting, double forecastMs) {
        StartRequest request = waiting.request();
        if (request.forwarded()) {
            return false;
        }
        Optional<RegionId> region =
                mComponents
                        .spareRoom()
                        .take(
                                request.prompt(),
                                request.allowedRegions()::allows,
                                forecastMs,
                                waiting.remainingWaitMs(mNowMs),
                                mNowMs);
        if (region.isEmpty()) {
            return false;
        }
        remove(waiting);
        mDecisions.add(new StartDecision.Forward(request.id(), region.get()));
        return true;
    }

    private void refuse(WaitingStart waiting, RefusalReason reason, long retryAfterMs) {
        remove(waiting);
        if (reason == RefusalReason.NO_ROOM_IN_TIME) {
            mComponents
                    .places()
                    .keep(waiting.request().digest(), waiting.placeMs(), retryAfterMs, mNowMs);
        }
        mDecisions.add(new StartDecision.Refuse(waiting.id(), reason, retryAfterMs));
    }

    private static long retryAfterMs(double forecastMs) {
        return (long) Math.ceil(Math.max(MIN_RETRY_MS, Math.min(MAX_RETRY_MS, forecastMs)));
    }

    private void remove(WaitingStart waiting) {
        mComponents.queue().remove(waiting);
        mComponents.order().leave(waiting.request().account());
        if (!waiting.request().forwarded()) {
            mComponents.demand().recordWait(mNowMs - waiting.submittedMs(), mNowMs);
        }
    }
}
