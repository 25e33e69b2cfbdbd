package org.filbertrudder.gateway.control;

import io.vertx.core.Context;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.config.EndpointRegistration;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.StoreEra;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.freshness.EndpointListCopy;
import org.filbertrudder.policy.freshness.RefreshSchedule;
import org.filbertrudder.policy.freshness.ReregistrationWindow;

/**
 * Keeps the registered endpoints up to date: relays read them from the store, the other instances
 * receive them from their relay and read them from the store if that has not replied recently.
 */
final class EndpointFollower {

    private static final ComponentLogger LOG = ComponentLogger.of("state");

    private final Context mContext;
    private final StateSource mSource;
    private final ReregistrationWindow mWindow;
    private final EndpointListCopy mCopy;
    private final EndpointRegistry mRegistry;
    private final Runnable mOnChange;
    private EndpointListing mListing = new EndpointListing(StoreEra.UNREPORTED, Map.of());
    private Set<EndpointId> mLoggedMissing = Set.of();
    private volatile long mPublishedAsOfMs = Long.MIN_VALUE;

    /** Creates a follower that runs the action on the context when the endpoints have changed. */
    EndpointFollower(
            Context context,
            StateSource source,
            RefreshSchedule schedule,
            ReregistrationWindow window,
            EndpointRegistry registry,
            Runnable onChange) {
        mContext = context;
        mSource = source;
        mWindow = window;
        mCopy = new EndpointListCopy(schedule, window);
        mRegistry = registry;
        mOnChange = onChange;
    }

    /** Returns the age of the endpoint list, in milliseconds. */
    long ageMs(long nowMs) {
        return mCopy.ageMs(nowMs);
    }

    /**
     * Returns as of when the published endpoints are complete, as a reading of the steady clock in
     * milliseconds; may be called from any thread. A list that is read while endpoints may register
     * again, after an outage of the store, is not complete: its registrations may be outdated.
     */
    long publishedAsOfMs() {
        return mPublishedAsOfMs;
    }

    /** Drops endpoints whose time to register again is over, and reads the list if that is due. */
    void tick(boolean asRelay, long nowMs) {
        if (mRegistry.expireMissing(nowMs)) {
            logMissing();
            mOnChange.run();
        }
        mCopy.beginReadIfDue(asRelay, nowMs).ifPresent(this::read);
    }

    private void read(EndpointListCopy.Read read) {
        mSource.readEndpoints()
                .subscribe()
                .with(
                        listing -> runOnContext(() -> handleListing(listing, read)),
                        failure -> runOnContext(() -> handleFailure(failure, read)));
    }

    private void runOnContext(Runnable action) {
        mContext.runOnContext(ignored -> action.run());
    }

    private void handleListing(EndpointListing listing, EndpointListCopy.Read read) {
        if (mCopy.noteAnswer(read)) {
            apply(listing, read.requestedMs(), "store");
        }
    }

    private void handleFailure(Throwable failure, EndpointListCopy.Read read) {
        long nowMs = Clocks.steadyMs();
        LOG.debug(
                "The endpoints could not be read.",
                LogField.of("error", failure.getMessage()),
                LogField.of("tookMs", nowMs - read.requestedMs()));
        mCopy.noteFailure(read, nowMs);
    }

    /** Returns whether the store has not answered this instance since the list was complete. */
    boolean hasFailedReads() {
        return mWindow.hasFailedReads();
    }

    /** Records that the list is complete as of a time. */
    private void noteComplete(long asOfMs, String source) {
        long nowMs = Clocks.steadyMs();
        long gapMs = ageMs(nowMs) - (nowMs - asOfMs);
        if (mCopy.noteComplete(asOfMs, nowMs)) {
            LOG.info(
                    "Endpoints without a registration are kept after an outage of the store.",
                    LogField.of("from", source),
                    LogField.of("gapMs", gapMs),
                    LogField.of("forMs", mWindow.remainingMs(nowMs)));
        }
    }

    /** Records that the published endpoints are as of a time, unless the list may be outdated. */
    private void notePublished(long asOfMs) {
        if (!mWindow.isOpen(Clocks.steadyMs())) {
            mPublishedAsOfMs = asOfMs;
        }
    }

    private void apply(EndpointListing listing, long readMs, String source) {
        if (mListing.era().isAfter(listing.era())) {
            return;
        }
        mListing = listing;
        noteComplete(readMs, source);
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
                    LogField.of("understood", registrations.size()),
                    LogField.of("from", source),
                    LogField.of("ageMs", ageMs(Clocks.steadyMs())));
            mOnChange.run();
        }
        notePublished(readMs);
        logMissing();
    }

    /** Logs which endpoints are kept without a registration, when they change. */
    private void logMissing() {
        Set<EndpointId> missing = mRegistry.missing();
        if (!missing.equals(mLoggedMissing)) {
            mLoggedMissing = missing;
            LOG.info(
                    "The endpoints kept without a registration have changed.",
                    LogField.of("kept", missing));
        }
    }

    /** Returns the registrations for a peer that has a list with the given digest. */
    Map<String, String> registrationsFor(long digest, long nowMs) {
        boolean isShared = mCopy.isShared(nowMs) && digest != mRegistry.digest();
        return isShared ? mListing.registrations() : Map.of();
    }

    /** Returns the era of the store in which the endpoints were read. */
    StoreEra era() {
        return mListing.era();
    }

    /** Applies the list in the reply of a peer, unless the local list is at least as new. */
    void apply(PeerMessage.OperatorStateReply reply, long requestedMs) {
        long readMs = requestedMs - reply.endpointsAgeMs();
        if (!mCopy.isNewer(reply.endpointsAgeMs(), requestedMs)) {
            return;
        }
        // An instance of an earlier release states no era.
        StoreEra era =
                reply.endpointsEra() > 0 ? new StoreEra(reply.endpointsEra()) : mListing.era();
        if (!reply.endpoints().isEmpty()) {
            apply(new EndpointListing(era, reply.endpoints()), readMs, "peer");
        } else if (reply.endpointsDigest() == mRegistry.digest() && era.equals(mListing.era())) {
            noteComplete(readMs, "peer");
            notePublished(readMs);
        }
    }
}
