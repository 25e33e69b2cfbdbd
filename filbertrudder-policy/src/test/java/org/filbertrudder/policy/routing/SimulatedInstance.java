package org.filbertrudder.policy.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.EndpointLoad;
import org.filbertrudder.policy.queueing.FairQueue;
import org.filbertrudder.policy.queueing.WaitEstimate;

/** Simulates an instance, which decides on requests as the gateway's dispatcher does. */
final class SimulatedInstance {

    private static final long LOCAL_DELAY_MS = 1;
    private static final long TICK_MS = 100;
    private static final long PUMP_DELAY_MS = 10;
    private static final long LOAD_INTERVAL_MS = 250;
    private static final long REGION_INTERVAL_MS = 500;
    private static final long LOAD_ESTIMATE_LIFETIME_MS = 700;
    private static final long MIN_RETRY_AFTER_MS = 250;
    private static final long MAX_RETRY_AFTER_MS = 4_000;
    private static final int MAX_SENDS = 4;
    private static final int MAX_SKIPPED_PER_PASS = 16;
    private static final int MAX_ENGINE_WAITS_PER_PASS = 32;

    private final GenerationFleetSimulation mFleet;
    private final InstanceId mId;
    private final RegionId mRegion;
    private final EndpointTable mTable = new EndpointTable();
    private final Router mRouter;
    private final EndpointLoadSums mSums = new EndpointLoadSums();
    private final FairQueue<SimulatedExchange> mWaiting = new FairQueue<>();
    private final WaitEstimate mWaitEstimate = new WaitEstimate();
    private final Set<SimulatedExchange> mAwaitingEngine = new LinkedHashSet<>();
    private final List<SimulatedExchange> mSkipped = new ArrayList<>();
    private Map<EndpointId, EndpointLoad> mLastReport = Map.of();
    private int mEngineWaits;
    private Route mNextRoute;
    private boolean mPumpScheduled;

    SimulatedInstance(GenerationFleetSimulation fleet, int index, List<Endpoint> endpoints) {
        mFleet = fleet;
        mId = InstanceId.of("edge-" + index);
        mRegion = GenerationFleetSimulation.regionOf(index);
        mTable.setEndpoints(endpoints, 0);
        mTable.findByService(GenerationFleetSimulation.SERVICE)
                .forEach(state -> state.setEngineMemory(SimulatedEngine.MEMORY_TOKENS));
        mRouter = new Router(mRegion, mTable, region -> true);
    }

    RegionId region() {
        return mRegion;
    }

    void start() {
        repeat(TICK_MS, this::tick);
        repeat(LOAD_INTERVAL_MS, this::reportLoad);
        if (relay(mRegion) == this) {
            repeat(REGION_INTERVAL_MS, this::reportToRegions);
        }
    }

    private void repeat(long intervalMs, Runnable action) {
        repeatAt(mFleet.random().nextInt((int) intervalMs), intervalMs, action);
    }

    private void repeatAt(long atMs, long intervalMs, Runnable action) {
        mFleet.schedule(
                atMs,
                () -> {
                    action.run();
                    repeatAt(atMs + intervalMs, intervalMs, action);
                });
    }

    void submit(SimulatedExchange exchange) {
        if (mWaiting.size() > 0) {
            enqueue(exchange);
            schedulePump();
        } else {
            route(exchange);
        }
    }

    private void route(SimulatedExchange exchange) {
        Route route = choose(exchange);
        if (route instanceof Route.WaitForEngine) {
            exchange.setQueued(true);
            mAwaitingEngine.add(exchange);
        } else if (route instanceof Route.Wait) {
            enqueue(exchange);
        } else {
            start(exchange, route);
        }
    }

    private Route choose(SimulatedExchange exchange) {
        return mRouter.choose(
                exchange.routeRequest(),
                GenerationFleetSimulation.REGION_GRAPH,
                waitMs(exchange),
                mFleet.nowMs());
    }

    private long waitMs(SimulatedExchange exchange) {
        return mWaitEstimate.waitMs(exchange.call().account(), mWaiting, mFleet.nowMs());
    }

    private void enqueue(SimulatedExchange exchange) {
        long nowMs = mFleet.nowMs();
        long waitMs = waitMs(exchange);
        long latestStartMs = exchange.latestStartMs();
        if (nowMs + waitMs > latestStartMs) {
            exchange.refuse(retryAfterMs(waitMs));
            return;
        }
        AccountId account = exchange.call().account();
        exchange.setQueued(true);
        mWaitEstimate.recordEnqueued(account, nowMs);
        mWaiting.add(account, exchange, exchange.cost(), latestStartMs, exchange.arrivedMs());
    }

    private long retryAfterMs(long waitMs) {
        long limitedMs = Math.max(MIN_RETRY_AFTER_MS, Math.min(waitMs, MAX_RETRY_AFTER_MS));
        return (long) (limitedMs * (0.75 + 0.5 * mFleet.random().nextDouble()));
    }

    private void start(SimulatedExchange exchange, Route route) {
        if (route instanceof Route.Local local) {
            startLocal(exchange, local.endpoint());
        } else if (route instanceof Route.Forward forward) {
            startRemote(exchange, forward);
        } else {
            exchange.refuse(retryAfterMs(MIN_RETRY_AFTER_MS));
        }
    }

    private void startLocal(SimulatedExchange exchange, EndpointState state) {
        long nowMs = mFleet.nowMs();
        PromptDemand prompt = exchange.call().prompt();
        exchange.countLocalSend(state.id());
        state.requestStarted(false, nowMs);
        PromptLoad load = state.addPromptLoad(prompt, exchange.call().deadlineMs(), nowMs);
        exchange.setOnCancel(() -> endRun(state, load, false));
        mFleet.schedule(
                nowMs + LOCAL_DELAY_MS,
                () -> {
                    if (!exchange.ended()) {
                        SimulatedEngine.Run run =
                                mFleet.engine(state.id())
                                        .add(
                                                prompt,
                                                exchange.call().outputTokens(),
                                                (tokens, last) ->
                                                        onEvent(exchange, state, load, last));
                        exchange.setOnCancel(
                                () -> {
                                    run.cancel();
                                    endRun(state, load, false);
                                });
                    }
                });
    }

    /** Handles an event of a response; one that is not streamed has only the last. */
    private void onEvent(
            SimulatedExchange exchange, EndpointState state, PromptLoad load, boolean last) {
        if (exchange.ended() || !(last || exchange.call().kind().mStream)) {
            return;
        }
        load.eventsReceived(1, mFleet.nowMs());
        exchange.relay(last);
        if (last) {
            endRun(state, load, true);
        }
    }

    private void endRun(EndpointState state, PromptLoad load, boolean answered) {
        if (answered) {
            load.complete();
            state.requestSucceeded();
        } else {
            load.release();
            state.requestEnded();
        }
        schedulePump();
    }

    private void startRemote(SimulatedExchange exchange, Route.Forward forward) {
        long nowMs = mFleet.nowMs();
        exchange.countForward(forward.region());
        Optional<PromptLoad> estimate =
                forward.expectedEndpoint()
                        .map(state -> state.addPromptLoad(exchange.call().prompt(), nowMs));
        mFleet.schedule(
                nowMs + LOAD_ESTIMATE_LIFETIME_MS, () -> estimate.ifPresent(PromptLoad::release));
        SimulatedInstance target = mFleet.drawInstance(forward.region());
        mFleet.schedule(
                nowMs + GenerationFleetSimulation.REGION_DELAY_MS,
                () -> {
                    SimulatedExchange there =
                            new SimulatedExchange(
                                    mFleet, exchange.call(), target, Optional.of(exchange));
                    if (!exchange.ended()) {
                        exchange.setOnCancel(
                                () ->
                                        mFleet.schedule(
                                                mFleet.nowMs()
                                                        + GenerationFleetSimulation.REGION_DELAY_MS,
                                                there::cancel));
                        target.submit(there);
                    }
                });
    }

    void refusedElsewhere(SimulatedExchange exchange, long retryAfterMs) {
        exchange.setOnCancel(() -> {});
        if (exchange.ended()) {
            return;
        }
        if (exchange.sends() < MAX_SENDS) {
            submit(exchange);
        } else {
            exchange.refuse(retryAfterMs);
        }
    }

    private void schedulePump() {
        if (!mPumpScheduled && mWaiting.size() + mAwaitingEngine.size() > 0) {
            mPumpScheduled = true;
            mFleet.schedule(
                    mFleet.nowMs() + PUMP_DELAY_MS,
                    () -> {
                        mPumpScheduled = false;
                        pump();
                    });
        }
    }

    private void pump() {
        List<SimulatedExchange> awaitingEngine = List.copyOf(mAwaitingEngine);
        mAwaitingEngine.clear();
        for (SimulatedExchange exchange : awaitingEngine) {
            exchange.setQueued(false);
            route(exchange);
        }
        mSkipped.clear();
        mEngineWaits = 0;
        Optional<SimulatedExchange> next = mWaiting.poll(this::decidePoll);
        while (next.isPresent()) {
            SimulatedExchange exchange = next.get();
            exchange.setQueued(false);
            mWaitEstimate.recordStarted(exchange.call().account(), exchange.cost(), mFleet.nowMs());
            start(exchange, mNextRoute);
            next = mWaiting.poll(this::decidePoll);
        }
        mWaitEstimate.updateFromQueue(mWaiting, mFleet.nowMs());
    }

    private FairQueue.PollDecision decidePoll(SimulatedExchange exchange) {
        if (mSkipped.size() >= MAX_SKIPPED_PER_PASS || mEngineWaits >= MAX_ENGINE_WAITS_PER_PASS) {
            return FairQueue.PollDecision.STOP;
        }
        if (mSkipped.stream().anyMatch(each -> needsNoMoreThan(each, exchange))) {
            return FairQueue.PollDecision.SKIP;
        }
        mNextRoute = choose(exchange);
        if (mNextRoute instanceof Route.WaitForEngine) {
            mEngineWaits++;
            return FairQueue.PollDecision.SKIP;
        }
        if (mNextRoute instanceof Route.Wait) {
            mSkipped.add(exchange);
            return FairQueue.PollDecision.SKIP;
        }
        return FairQueue.PollDecision.START;
    }

    private static boolean needsNoMoreThan(SimulatedExchange skipped, SimulatedExchange exchange) {
        return skipped.untried() && exchange.untried() && skipped.cost() <= exchange.cost();
    }

    void remove(SimulatedExchange exchange) {
        if (exchange.queued()) {
            exchange.setQueued(false);
            if (!mAwaitingEngine.remove(exchange)) {
                mWaiting.remove(exchange);
            }
        }
    }

    private void tick() {
        if (mWaiting.size() + mAwaitingEngine.size() == 0) {
            return;
        }
        for (SimulatedExchange exchange : mWaiting.removeExpired(mFleet.nowMs())) {
            exchange.setQueued(false);
            exchange.refuse(retryAfterMs(MIN_RETRY_AFTER_MS));
        }
        pump();
    }

    private SimulatedInstance relay(RegionId region) {
        return mFleet.instances().stream()
                .filter(each -> each.mRegion.equals(region))
                .findFirst()
                .orElseThrow();
    }

    /** Reports this instance's load to the relay of the region, which distributes the sum. */
    private void reportLoad() {
        Map<EndpointId, EndpointLoad> loads = new HashMap<>();
        for (EndpointState state : mTable.findByRegion(mRegion)) {
            loads.put(
                    state.id(),
                    new EndpointLoad(
                            state.id(),
                            state.inFlight(),
                            Math.rint(state.ownPrefillMs()),
                            state.ownMemoryTokens()));
        }
        mLastReport = loads;
        SimulatedInstance relay = relay(mRegion);
        mFleet.schedule(
                mFleet.nowMs() + LOCAL_DELAY_MS,
                () -> relay.mSums.storeReport(mId, List.copyOf(loads.values()), mFleet.nowMs()));
        if (relay == this) {
            Map<EndpointId, EndpointLoad> sums = mSums.sumByEndpoint(mFleet.nowMs());
            sendToRegion(mRegion, LOCAL_DELAY_MS, each -> each.applySum(sums));
        }
    }

    /** Reports the loads of this region to the instances of the others. */
    private void reportToRegions() {
        Map<EndpointId, EndpointLoad> loads = new HashMap<>();
        for (EndpointState state : mTable.findByRegion(mRegion)) {
            loads.put(
                    state.id(),
                    new EndpointLoad(
                            state.id(),
                            state.load(mFleet.nowMs()),
                            Math.rint(state.prefillBacklogMs()),
                            state.memoryTokens()));
        }
        GenerationFleetSimulation.REGION_GRAPH
                .nearestTo(mRegion)
                .forEach(
                        region ->
                                sendToRegion(
                                        region,
                                        GenerationFleetSimulation.REGION_DELAY_MS,
                                        each -> each.applyLoads(mRegion, loads)));
    }

    private void sendToRegion(RegionId region, long delayMs, Consumer<SimulatedInstance> action) {
        mFleet.schedule(
                mFleet.nowMs() + delayMs,
                () ->
                        mFleet.instances().stream()
                                .filter(each -> each.mRegion.equals(region))
                                .forEach(action));
    }

    private void applySum(Map<EndpointId, EndpointLoad> sums) {
        Map<EndpointId, EndpointLoad> loads = new HashMap<>();
        sums.forEach(
                (id, sum) ->
                        loads.put(id, EndpointLoadSums.loadOfOthers(sum, mLastReport.get(id))));
        applyLoads(mRegion, loads);
    }

    private void applyLoads(RegionId region, Map<EndpointId, EndpointLoad> loads) {
        for (EndpointState state : mTable.findByRegion(region)) {
            EndpointLoad load = loads.get(state.id());
            if (load != null) {
                state.recordLoadOfOthers(
                        load.requests(), load.prefillMs(), load.memoryTokens(), mFleet.nowMs());
            }
        }
    }
}
