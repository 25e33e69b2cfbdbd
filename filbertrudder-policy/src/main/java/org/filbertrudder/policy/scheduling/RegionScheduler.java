package org.filbertrudder.policy.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.policy.routing.PrefixCacheHints;
import org.filbertrudder.policy.routing.PromptDemand;

/** Decides when and on which engine the prompts of one service start in a region. */
public final class RegionScheduler {

    /** The maximum number of rejected requests whose place is kept until they are sent again. */
    private static final int MAX_UNUSED_PLACES = 1_024;

    private final SpareRoom mSpareRoom;
    private final StartQueue mQueue = new StartQueue();
    private final EngineStarts mEngines = new EngineStarts(this::keepPlaceOfUnused);
    private final StartOrder mOrder = new StartOrder();
    private final WaitForecast mForecast = new WaitForecast();
    private final ReturnPlaces mPlaces = new ReturnPlaces();
    private final RegionDemand mDemand = new RegionDemand();
    private final PrefixCacheHints mReadParts = new PrefixCacheHints();
    private final StartPass.Components mComponents;
    private final Map<StartId, Double> mUnusedPlaces = new LinkedHashMap<>();
    private final List<StartDecision> mRepeated = new ArrayList<>();
    private final DecisionCounts mCounts = new DecisionCounts();
    private long mSequence;
    private long mNowMs;
    private long mEvaluations;

    /** Creates a scheduler without engines and requests. */
    public RegionScheduler(ServiceId service, RegionId region, SpareRoom spareRoom) {
        mSpareRoom = spareRoom;
        mComponents =
                new StartPass.Components(
                        region, spareRoom, mQueue, mEngines, mOrder, mForecast, mPlaces, mDemand);
    }

    /** Replaces the engines; those that remain keep what has been learned about them. */
    public void setEngines(Collection<EngineDescription> engines, long nowMs) {
        mNowMs = nowMs;
        mEngines.setEngines(engines);
    }

    /**
     * Adds a request that waits for its start.
     *
     * <p>A sender that sends a request again after a lost connection gets the same start again,
     * unless it excludes the engine.
     */
    public void submit(StartRequest request, long nowMs) {
        mNowMs = nowMs;
        EngineStarts.OpenEntry open = mEngines.get(request.id());
        if (open != null) {
            Optional<StartDecision.Start> decision = open.repeatable(request);
            if (decision.isPresent()) {
                mRepeated.add(decision.get());
                return;
            }
            mEngines.cancel(request.id(), nowMs);
        }
        WaitingStart waiting = mQueue.get(request.id());
        if (waiting == null) {
            add(request, nowMs);
        } else if (!waiting.request().excluded().equals(request.excluded())) {
            mQueue.remove(waiting);
            mQueue.add(
                    new WaitingStart(
                            request, waiting.placeMs(), waiting.tokens(), mSequence++, nowMs));
        }
    }

    private void add(StartRequest request, long nowMs) {
        double tokens = uncachedTokens(request.prompt(), nowMs);
        boolean isRetry = mPlaces.contains(request.digest(), nowMs);
        OptionalDouble keptPlaceMs = mPlaces.take(request.digest(), nowMs);
        Double unusedPlaceMs = mUnusedPlaces.remove(request.id());
        long arrivalMs = nowMs - Math.max(0, request.ageMs());
        double placeMs = mOrder.arrive(request.account(), arrivalMs, nowMs);
        if (unusedPlaceMs != null) {
            placeMs = unusedPlaceMs;
        } else if (keptPlaceMs.isPresent()) {
            placeMs = Math.min(placeMs, keptPlaceMs.getAsDouble());
        }
        if (!isRetry && unusedPlaceMs == null && !request.forwarded()) {
            mDemand.recordArrival(tokens, nowMs);
        }
        mForecast.recordArrival(request.rank(), tokens, nowMs);
        mQueue.add(new WaitingStart(request, placeMs, tokens, mSequence++, nowMs));
    }

    /**
     * Returns the tokens of the prompt that the region still has to read. A shared part counts for
     * the first request only; the others wait for the engine that reads it.
     */
    private double uncachedTokens(PromptDemand prompt, long nowMs) {
        long tokens = prompt.promptTokens() - mReadParts.cachedTokens(prompt, nowMs);
        mReadParts.markCached(prompt, nowMs);
        return Math.max(1, tokens);
    }

    private void keepPlaceOfUnused(EngineStarts.OpenEntry entry) {
        WaitingStart waiting = entry.waiting();
        if (waiting != null) {
            mOrder.refund(waiting.request().account(), entry.chargeMs());
            mUnusedPlaces.put(entry.id(), waiting.placeMs());
            if (mUnusedPlaces.size() > MAX_UNUSED_PLACES) {
                mUnusedPlaces.remove(mUnusedPlaces.keySet().iterator().next());
            }
        }
    }

    /** Removes a request that no longer waits, or whose start was not used. */
    public void cancel(StartId id) {
        WaitingStart waiting = mQueue.get(id);
        if (waiting != null) {
            remove(waiting);
        }
        mEngines.cancel(id, mNowMs);
    }

    private void remove(WaitingStart waiting) {
        mQueue.remove(waiting);
        mOrder.leave(waiting.request().account());
    }

    /** Records the first event of a response. */
    public void begun(StartId id, long nowMs) {
        mNowMs = nowMs;
        mEngines.begun(id, nowMs);
    }

    /**
     * Records the end of a request.
     *
     * @param events the number of events of a complete response; 0 if it is incomplete
     */
    public void ended(StartId id, long events, long nowMs) {
        mNowMs = nowMs;
        mEngines.ended(id, events, nowMs);
    }

    /** Records that the engine was full and has not run the request. */
    public void rejected(StartId id, long nowMs) {
        mNowMs = nowMs;
        mEngines.rejected(id, nowMs);
    }

    /**
     * Replaces what is known about the open requests of an instance. Starts of the last {@link
     * EngineStarts#UNREPORTED_MS} ms remain, because the report may have been made before them.
     */
    public void replaceOpen(InstanceId sender, List<OpenStart> open, long nowMs) {
        mNowMs = nowMs;
        for (OpenStart start : open) {
            WaitingStart waiting = mQueue.get(start.id());
            if (waiting != null) {
                remove(waiting);
            }
        }
        mEngines.replaceOpen(sender, open, nowMs);
    }

    /** Removes the waiting and open requests of an instance. */
    public void dropSender(InstanceId sender) {
        mQueue.matching(waiting -> waiting.id().sender().equals(sender)).forEach(this::remove);
        mEngines.dropSender(sender, mNowMs);
    }

    /** Records what an engine states about its load. */
    public void recordStatement(
            EndpointId endpoint, int running, int waiting, OptionalInt pacePercent, long nowMs) {
        ScheduledEngine engine = mEngines.engine(endpoint);
        if (engine != null) {
            engine.room().recordStatement(running, waiting, pacePercent, nowMs);
        }
    }

    /** Records the pace of an instance's streams on an engine. */
    public void recordStreams(
            InstanceId from, EndpointId endpoint, double msPerEvent, double missingMs, long nowMs) {
        ScheduledEngine engine = mEngines.engine(endpoint);
        if (engine != null) {
            engine.room().recordStreams(from, msPerEvent, missingMs, nowMs);
        }
    }

    /** Decides which waiting requests start, leave the region or are refused. */
    public List<StartDecision> decide(long nowMs) {
        mNowMs = nowMs;
        mEngines.expire(nowMs);
        mOrder.update(nowMs);
        StartPass pass = new StartPass(mComponents, nowMs);
        List<StartDecision> decisions = pass.run();
        mEvaluations += pass.evaluations();
        decisions.forEach(mCounts::record);
        List<StartDecision> all = new ArrayList<>(mRepeated);
        mRepeated.clear();
        all.addAll(decisions);
        return all;
    }

    /** Returns the waiting requests. */
    StartQueue queue() {
        return mQueue;
    }

    /** Returns the engines with their open starts. */
    EngineStarts engines() {
        return mEngines;
    }

    /** Returns how many pairs of a request and an engine have been evaluated so far. */
    long evaluations() {
        return mEvaluations;
    }

    /** Returns what this region offers to each of the others. */
    public SpareRoom.Offer offer(long nowMs) {
        return mSpareRoom.offer(
                mEngines.tokensPerMs(nowMs),
                mDemand.tokensPerMs(nowMs),
                mEngines.startsPerSecond(),
                mDemand.startsPerSecond(nowMs),
                Math.max(mDemand.waitMs(nowMs), ownWaitMs(nowMs)));
    }

    /**
     * Returns how long the requests of the region's own callers wait, in milliseconds: the time
     * that they have waited, or the time to read them if it is longer. Under overload most requests
     * are refused at once, so the former alone would be short.
     */
    public double ownWaitMs(long nowMs) {
        double tokens = 0;
        for (WaitingStart waiting : mQueue.matching(each -> !each.request().forwarded())) {
            tokens += waiting.tokens();
        }
        double readingMs = tokens / Math.max(1, mEngines.tokensPerMs(nowMs));
        return Math.max(meanOwnWaitMs(nowMs), readingMs);
    }

    /** Returns how long the region's own waiting requests have waited, in milliseconds. */
    private double meanOwnWaitMs(long nowMs) {
        return mQueue.matching(waiting -> !waiting.request().forwarded()).stream()
                .mapToLong(waiting -> nowMs - waiting.submittedMs())
                .average()
                .orElse(0);
    }

    /** Returns the state for metrics and the dump. */
    public SchedulerState state(long nowMs) {
        return new SchedulerState(
                mQueue.size(),
                mQueue.countBy(request -> StartOrder.boundedRank(request.rank())),
                mQueue.countBy(StartRequest::account),
                roomTokens(nowMs),
                mEngines.tokensPerMs(nowMs),
                mCounts.started(),
                mCounts.forwarded(),
                mCounts.refusedNoRoom(),
                mCounts.refusedCannotEnd(),
                mPlaces.kept(nowMs),
                mPlaces.used());
    }

    private long roomTokens(long nowMs) {
        double tokens = 0;
        for (ScheduledEngine engine : mEngines.engines()) {
            EngineRoom room = engine.room();
            if (engine.isUsable() && room.freeSlots(nowMs) > 0) {
                tokens +=
                        Math.max(0, EngineRoom.WINDOW_MS - room.backlogMs(nowMs))
                                * room.tokensPerMs(nowMs);
            }
        }
        return (long) tokens;
    }
}
