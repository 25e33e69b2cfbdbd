package org.filbertrudder.gateway.control;

import io.vertx.core.Context;
import java.util.HashMap;
import java.util.Map;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.config.EndpointRegistration;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.StoreEra;
import org.filbertrudder.model.message.PeerMessage;

/**
 * Keeps the registered endpoints up to date: relays read them from the store, the other instances
 * receive them from their relay and read them from the store if that has not replied recently.
 */
final class EndpointFollower {

    private static final ComponentLogger LOG = ComponentLogger.of("state");

    /**
     * The interval at which the endpoints are read, in milliseconds; short enough to stop using a
     * leaving endpoint within 4 s.
     */
    private static final long READ_INTERVAL_MS = 1_200;

    /** The number of reads that may be pending at the same time. */
    private static final int MAX_PENDING_READS = 3;

    /** The age above which a list is not sent to or accepted from peers, in milliseconds. */
    private static final long MAX_SHARED_AGE_MS = 2 * READ_INTERVAL_MS;

    private final Context mContext;
    private final StateSource mSource;
    private final EndpointRegistry mRegistry;
    private final Runnable mOnChange;
    private EndpointListing mListing = new EndpointListing(StoreEra.UNREPORTED, Map.of());
    private long mReadMs = Long.MIN_VALUE / 2;
    private long mNextReadMs;
    private int mPendingReads;

    /** Creates a follower that runs the action on the context when the endpoints have changed. */
    EndpointFollower(
            Context context, StateSource source, EndpointRegistry registry, Runnable onChange) {
        mContext = context;
        mSource = source;
        mRegistry = registry;
        mOnChange = onChange;
    }

    /** Returns the age of the endpoint list, in milliseconds. */
    long ageMs(long nowMs) {
        return nowMs - mReadMs;
    }

    /**
     * Reads the endpoints if that is due.
     *
     * @param intervalMs the interval to the next read; a relay uses its own
     * @param retryDelayMs the interval to the next read after a failed one
     */
    void readIfDue(boolean asRelay, long intervalMs, long retryDelayMs, long nowMs) {
        if (nowMs >= mNextReadMs && mPendingReads < MAX_PENDING_READS) {
            mNextReadMs = nowMs + (asRelay ? READ_INTERVAL_MS : intervalMs);
            read(nowMs, retryDelayMs);
        }
    }

    private void read(long requestedMs, long retryDelayMs) {
        mPendingReads++;
        mSource.readEndpoints()
                .subscribe()
                .with(
                        listing -> runOnContext(() -> handleListing(listing, requestedMs)),
                        failure -> runOnContext(() -> handleFailure(retryDelayMs)));
    }

    private void runOnContext(Runnable action) {
        mContext.runOnContext(ignored -> action.run());
    }

    private void handleListing(EndpointListing listing, long requestedMs) {
        mPendingReads--;
        if (requestedMs > mReadMs) {
            apply(listing, requestedMs);
        }
    }

    private void handleFailure(long retryDelayMs) {
        mPendingReads--;
        mRegistry.noteOutage();
        mNextReadMs = Math.min(mNextReadMs, Clocks.steadyMs() + retryDelayMs);
    }

    private void apply(EndpointListing listing, long readMs) {
        if (mListing.era().isAfter(listing.era())) {
            return;
        }
        mListing = listing;
        mReadMs = readMs;
        Map<EndpointId, EndpointRegistration> registrations = new HashMap<>();
        listing.registrations()
                .forEach(
                        (id, text) ->
                                mSource.decodeEndpoint(id, text)
                                        .ifPresent(
                                                registration ->
                                                        registrations.put(
                                                                registration.endpoint().id(),
                                                                registration)));
        if (mRegistry.update(registrations, listing.era(), Clocks.steadyMs())) {
            LOG.info(
                    "The endpoints have changed.",
                    LogField.of("era", listing.era()),
                    LogField.of("registered", listing.registrations().size()),
                    LogField.of("understood", registrations.size()));
            mOnChange.run();
        }
    }

    /** Returns the registrations for a peer that has a list with the given digest. */
    Map<String, String> registrationsFor(long digest, long nowMs) {
        boolean isShared = ageMs(nowMs) < MAX_SHARED_AGE_MS && digest != mRegistry.digest();
        return isShared ? mListing.registrations() : Map.of();
    }

    /** Returns the era of the store in which the endpoints were read. */
    StoreEra era() {
        return mListing.era();
    }

    /** Applies the list in the reply of a peer, unless the local list is at least as new. */
    void apply(PeerMessage.OperatorStateReply reply, long requestedMs) {
        long readMs = requestedMs - reply.endpointsAgeMs();
        boolean isUsable =
                reply.endpointsAgeMs() >= 0
                        && reply.endpointsAgeMs() < MAX_SHARED_AGE_MS
                        && readMs > mReadMs;
        if (!isUsable) {
            return;
        }
        // An instance of an earlier release states no era.
        StoreEra era =
                reply.endpointsEra() > 0 ? new StoreEra(reply.endpointsEra()) : mListing.era();
        if (reply.afterOutage()) {
            mRegistry.notePeerOutage(Clocks.steadyMs());
        }
        if (!reply.endpoints().isEmpty()) {
            apply(new EndpointListing(era, reply.endpoints()), readMs);
        } else if (reply.endpointsDigest() == mRegistry.digest() && era.equals(mListing.era())) {
            mReadMs = readMs;
            if (mRegistry.confirm(Clocks.steadyMs())) {
                mOnChange.run();
            }
        }
    }
}
