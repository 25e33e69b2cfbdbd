package org.filbertrudder.policy.routing;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.RegionId;

/** Holds what an instance knows of a request that it handles. */
final class SimulatedExchange {

    private static final long MIN_RUN_MS = 100;
    private static final long MAX_FORWARDED_WAIT_MS = 200;
    private static final double ENGINE_WAIT_GOAL_FRACTION = 0.4;

    private final GenerationFleetSimulation mFleet;
    private final SimulatedCall mCall;
    private final SimulatedInstance mInstance;

    /** The exchange of the instance that has forwarded the request, if any. */
    private final Optional<SimulatedExchange> mOrigin;

    private final long mArrivedMs;
    private final Set<EndpointId> mTriedEndpoints = new HashSet<>();
    private final Set<RegionId> mTriedRegions = new HashSet<>();
    private Runnable mOnCancel = () -> {};
    private int mSends;
    private boolean mQueued;
    private boolean mEnded;

    SimulatedExchange(
            GenerationFleetSimulation fleet,
            SimulatedCall call,
            SimulatedInstance instance,
            Optional<SimulatedExchange> origin) {
        mFleet = fleet;
        mArrivedMs = fleet.nowMs();
        mCall = call;
        mInstance = instance;
        mOrigin = origin;
    }

    SimulatedCall call() {
        return mCall;
    }

    SimulatedInstance instance() {
        return mInstance;
    }

    long arrivedMs() {
        return mArrivedMs;
    }

    int sends() {
        return mSends;
    }

    boolean ended() {
        return mEnded;
    }

    boolean queued() {
        return mQueued;
    }

    void setQueued(boolean queued) {
        mQueued = queued;
    }

    /** Sets what ends the current attempt if the caller leaves. */
    void setOnCancel(Runnable onCancel) {
        mOnCancel = onCancel;
    }

    void countLocalSend(EndpointId endpoint) {
        mTriedEndpoints.add(endpoint);
        mSends++;
    }

    void countForward(RegionId region) {
        mTriedRegions.add(region);
        mSends++;
    }

    long cost() {
        return mCall.prompt().memoryTokens();
    }

    boolean untried() {
        return mSends == 0 && mOrigin.isEmpty();
    }

    long latestStartMs() {
        long latestMs = mCall.deadlineMs() - MIN_RUN_MS;
        if (mOrigin.isPresent()) {
            return Math.min(latestMs, mArrivedMs + MAX_FORWARDED_WAIT_MS);
        }
        return mCall.kind().mStream
                ? Math.min(latestMs, mArrivedMs + mCall.kind().mGoalMs)
                : latestMs;
    }

    RouteRequest routeRequest() {
        double maxEngineWaitMs = ENGINE_WAIT_GOAL_FRACTION * mCall.kind().mGoalMs;
        return new RouteRequest(
                GenerationFleetSimulation.SERVICE,
                region -> !mTriedRegions.contains(region),
                "",
                mTriedEndpoints,
                Optional.empty(),
                false,
                mOrigin.isPresent(),
                untried() && mFleet.nowMs() < mArrivedMs + maxEngineWaitMs,
                Optional.of(mCall.prompt()),
                mCall.deadlineMs() - mFleet.nowMs(),
                waitedShare());
    }

    private double waitedShare() {
        long allowedMs = Math.max(1, latestStartMs() - mArrivedMs);
        return (double) (mFleet.nowMs() - mArrivedMs) / allowedMs;
    }

    void cancel() {
        if (!mEnded) {
            mEnded = true;
            mInstance.remove(this);
            mOnCancel.run();
        }
    }

    /** Passes an event on to the caller, through the forwarding instance if there is one. */
    void relay(boolean last) {
        if (mEnded) {
            return;
        }
        mEnded = last;
        if (mOrigin.isPresent()) {
            mFleet.schedule(
                    mFleet.nowMs() + GenerationFleetSimulation.REGION_DELAY_MS,
                    () -> mOrigin.get().relay(last));
        } else {
            mCall.onEvent(last);
        }
    }

    void refuse(long retryAfterMs) {
        mEnded = true;
        if (mOrigin.isPresent()) {
            SimulatedExchange origin = mOrigin.get();
            mFleet.schedule(
                    mFleet.nowMs() + GenerationFleetSimulation.REGION_DELAY_MS,
                    () -> origin.mInstance.refusedElsewhere(origin, retryAfterMs));
        } else {
            mCall.refused(retryAfterMs);
        }
    }
}
