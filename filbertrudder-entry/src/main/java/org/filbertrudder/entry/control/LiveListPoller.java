package org.filbertrudder.entry.control;

import io.vertx.core.Context;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.filbertrudder.entry.log.Field;
import org.filbertrudder.entry.log.PartLog;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.store.LiveInstance;
import org.filbertrudder.store.PlatformDirectory;

/** Reads the platform's live list at intervals and keeps the newest answer. */
final class LiveListWatcher {

    private static final PartLog LOG = PartLog.of("live list");
    private static final long MIN_POLL_MS = 1_000;
    private static final long FLEET_POLLS_PER_SECOND = 64;
    private static final long FRESH_POLLS = 5;

    private final Context mContext;
    private final InstanceId mSelf;
    private final PlatformDirectory mPlatform;
    private final LongSupplier mClockMs;
    private final Runnable mOnChange;
    private List<LiveInstance> mInstances = List.of();
    private long mReadMs = Long.MIN_VALUE / 2;
    private long mPollMs = MIN_POLL_MS;
    private long mNextPollMs;
    private boolean mReading;
    private Long mListedMs;

    LiveListWatcher(
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

    /** Reads the list if it is due; the whole fleet together stays below a number of reads. */
    void tick(int members, long nowMs) {
        mPollMs = Math.max(MIN_POLL_MS, members * 1_000L / FLEET_POLLS_PER_SECOND);
        if (mReading || nowMs < mNextPollMs) {
            return;
        }
        mReading = true;
        mNextPollMs = nowMs + mPollMs;
        mPlatform
                .live()
                .emitOn(action -> mContext.runOnContext(ignored -> action.run()))
                .subscribe()
                .with(this::read, failure -> mContext.runOnContext(ignored -> failed(failure)));
    }

    private void read(List<LiveInstance> instances) {
        mReading = false;
        mReadMs = mClockMs.getAsLong();
        if (names(instances, mSelf)) {
            mListedMs = mReadMs;
        }
        if (!instances.equals(mInstances)) {
            mInstances = List.copyOf(instances);
            mOnChange.run();
        }
    }

    private void failed(Throwable failure) {
        mReading = false;
        LOG.debug("The live list cannot be read.", Field.of("error", failure.getMessage()));
    }

    /** Returns when an answer last named this instance; absent if none ever did. */
    Optional<Long> lastListedMs() {
        return Optional.ofNullable(mListedMs);
    }

    /** Returns whether a recent answer does not name the instance. */
    boolean lacks(InstanceId id, long nowMs) {
        return nowMs - mReadMs < FRESH_POLLS * mPollMs && !names(mInstances, id);
    }

    private static boolean names(List<LiveInstance> instances, InstanceId id) {
        return instances.stream().anyMatch(each -> each.id().equals(id.value()));
    }

    /** Returns the endpoints that are leaving. */
    Set<EndpointId> leavingEndpoints() {
        return mInstances.stream()
                .filter(each -> each.state() == LiveInstance.State.LEAVING)
                .map(each -> EndpointId.of(each.id()))
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the peer addresses of the live instances. */
    List<PeerAddress> peerAddresses() {
        return mInstances.stream()
                .filter(each -> !each.address().isEmpty())
                .map(each -> PeerAddress.parse(each.address()))
                .toList();
    }
}
