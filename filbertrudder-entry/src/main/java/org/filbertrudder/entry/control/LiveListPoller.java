package org.filbertrudder.entry.control;

import io.vertx.core.Context;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.store.LiveListEntry;
import org.filbertrudder.store.PlatformDirectory;

/** Polls the platform's list of live instances and keeps the newest response. */
final class LiveListPoller {

    private static final ComponentLogger LOG = ComponentLogger.of("live list");
    private static final long MIN_POLL_INTERVAL_MS = 1_000;
    private static final long MAX_FLEET_POLLS_PER_SECOND = 64;
    private static final long MAX_RESPONSE_AGE_POLLS = 5;

    private final Context mContext;
    private final InstanceId mSelf;
    private final PlatformDirectory mPlatform;
    private final LongSupplier mClockMs;
    private final Runnable mOnChange;
    private List<LiveListEntry> mInstances = List.of();
    private long mLastResponseMs = Long.MIN_VALUE / 2;
    private long mPollIntervalMs = MIN_POLL_INTERVAL_MS;
    private long mNextPollMs;
    private boolean mPollPending;
    private Long mLastListedMs;

    LiveListPoller(
            Context context,
            InstanceId self,
            PlatformDirectory platform,
            LongSupplier clockMs,
            Runnable onChange) {
        mSelf = self;
        mContext = context;
        mPlatform = platform;
        mClockMs = clockMs;
        mOnChange = onChange;
    }

    /**
     * Polls the list if due; the interval grows with the fleet to limit the fleet-wide request
     * rate.
     */
    void tick(int memberCount, long nowMs) {
        mPollIntervalMs =
                Math.max(MIN_POLL_INTERVAL_MS, memberCount * 1_000L / MAX_FLEET_POLLS_PER_SECOND);
        if (mPollPending || nowMs < mNextPollMs) {
            return;
        }
        mPollPending = true;
        mNextPollMs = nowMs + mPollIntervalMs;
        mPlatform
                .readLiveList()
                .emitOn(action -> mContext.runOnContext(ignored -> action.run()))
                .subscribe()
                .with(
                        this::handleResponse,
                        failure -> mContext.runOnContext(ignored -> handleFailure(failure)));
    }

    private void handleResponse(List<LiveListEntry> instances) {
        mPollPending = false;
        mLastResponseMs = mClockMs.getAsLong();
        if (contains(instances, mSelf)) {
            mLastListedMs = mLastResponseMs;
        }
        if (!instances.equals(mInstances)) {
            mInstances = List.copyOf(instances);
            mOnChange.run();
        }
    }

    private void handleFailure(Throwable failure) {
        mPollPending = false;
        LOG.debug("The live list could not be read.", LogField.of("error", failure.getMessage()));
    }

    /** Returns when a response last listed this instance; empty if none did. */
    Optional<Long> lastListedMs() {
        return Optional.ofNullable(mLastListedMs);
    }

    /** Returns whether the newest response is recent and does not list the instance. */
    boolean isMissing(InstanceId id, long nowMs) {
        return nowMs - mLastResponseMs < MAX_RESPONSE_AGE_POLLS * mPollIntervalMs
                && !contains(mInstances, id);
    }

    private static boolean contains(List<LiveListEntry> instances, InstanceId id) {
        return instances.stream().anyMatch(instance -> instance.id().equals(id.value()));
    }

    /** Returns the endpoints that are listed as leaving. */
    Set<EndpointId> leavingEndpoints() {
        return mInstances.stream()
                .filter(instance -> instance.state() == LiveListEntry.State.LEAVING)
                .map(instance -> EndpointId.of(instance.id()))
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the peer addresses of the listed instances that have one. */
    List<PeerAddress> peerAddresses() {
        return mInstances.stream()
                .filter(instance -> !instance.address().isEmpty())
                .map(instance -> PeerAddress.parse(instance.address()))
                .toList();
    }
}
