package org.filbertrudder.entry.control;

import io.vertx.core.Context;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.InvalidValueException;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.store.LiveListEntry;
import org.filbertrudder.store.PlatformDirectory;

/** Polls the platform's live list of instances and endpoints and keeps the newest response. */
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
    private List<LiveListEntry> mEntries = List.of();
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

    private void handleResponse(List<LiveListEntry> entries) {
        mPollPending = false;
        mLastResponseMs = mClockMs.getAsLong();
        if (contains(entries, mSelf)) {
            mLastListedMs = mLastResponseMs;
        }
        if (!entries.equals(mEntries)) {
            mEntries = List.copyOf(entries);
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
                && !contains(mEntries, id);
    }

    private static boolean contains(List<LiveListEntry> entries, InstanceId id) {
        return entries.stream().anyMatch(entry -> entry.id().equals(id.value()));
    }

    /** Returns the endpoints that are listed as leaving. */
    Set<EndpointId> leavingEndpoints() {
        return mEntries.stream()
                .filter(entry -> entry.state() == LiveListEntry.State.LEAVING)
                .flatMap(entry -> ifValid(entry, () -> EndpointId.of(entry.id())))
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns what an entry names; nothing if another writer left a value there that is invalid.
     */
    private static <T> Stream<T> ifValid(LiveListEntry entry, Supplier<T> value) {
        try {
            return Stream.of(value.get());
        } catch (InvalidValueException e) {
            LOG.debug(
                    "An entry of the live list is passed over.",
                    LogField.of("entry", entry.id()),
                    LogField.of("why", e.getMessage()));
            return Stream.empty();
        }
    }

    /** Returns the peer addresses of the listed instances; endpoints have none. */
    List<PeerAddress> peerAddresses() {
        return mEntries.stream()
                .filter(entry -> !entry.address().isEmpty())
                .flatMap(entry -> ifValid(entry, () -> PeerAddress.parse(entry.address())))
                .toList();
    }
}
