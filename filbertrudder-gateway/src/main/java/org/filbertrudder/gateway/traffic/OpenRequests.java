package org.filbertrudder.gateway.traffic;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import io.vertx.core.Future;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.impl.ContextInternal;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.peer.forwarding.HeldBytes;
import org.filbertrudder.policy.connections.ConnectionProgress;
import org.filbertrudder.policy.connections.EndReason;
import org.filbertrudder.policy.connections.ReadingLimits;
import org.filbertrudder.policy.connections.ServingClock;

/**
 * Keeps the open requests of callers. A request is open from the arrival of its head until its body
 * has been read and its response has been sent, or its connection has closed.
 */
final class OpenRequests {

    private static final ComponentLogger LOG = ComponentLogger.of("callers");

    /** A longer time between two ticks is a hold-up, in which nothing was read. */
    private static final long MAX_TICK_INTERVAL_MS = 200;

    private final ServingClock mClock = new ServingClock(MAX_TICK_INTERVAL_MS, Clocks.steadyMs());
    private final HeldBytes mBodies;
    private final Map<HttpConnection, CallerConnection> mConnections = new HashMap<>();
    private final Set<OpenRequest> mOpen = new LinkedHashSet<>();
    private ReadingLimits mLimits = new ReadingLimits(0, 0);

    /** Creates the register of requests whose bodies are held within a bound. */
    OpenRequests(HeldBytes bodies) {
        mBodies = bodies;
    }

    void connectionOpened(HttpConnection connection) {
        CallerConnection state = new CallerConnection(connection);
        mConnections.put(connection, state);
        ConnectionBase base = (ConnectionBase) connection;
        base.channel().pipeline().addFirst(state.mReceived);
        ContextInternal context = base.getContext();
        // The library may skip the close handlers of a connection whose next request is incomplete.
        // Timers that are set outside the context could run on another event loop.
        base.channel()
                .closeFuture()
                .addListener(
                        ignored -> context.dispatch(() -> connectionClosed(connection, state)));
    }

    private void connectionClosed(HttpConnection connection, CallerConnection state) {
        mConnections.remove(connection);
        List.copyOf(state.mOpen).forEach(OpenRequest::closed);
    }

    /**
     * Opens a request whose head has arrived. A request that is read only after its connection has
     * closed, behind another one, is never open.
     */
    OpenRequest open(HttpServerRequest request, long arrivedMs) {
        CallerConnection connection = mConnections.get(request.connection());
        if (connection == null) {
            return new OpenRequest(new CallerConnection(request.connection()), arrivedMs, true);
        }
        connection.mProgress.headRead(servingMs());
        OpenRequest open = new OpenRequest(connection, arrivedMs, false);
        mOpen.add(open);
        connection.mOpen.add(open);
        request.response().closeHandler(ignored -> open.closed());
        request.response().exceptionHandler(ignored -> open.closed());
        return open;
    }

    /** Closes the connections that have been idle for longer than the limit, in milliseconds. */
    void closeIdleLongerThan(long limitMs, CloseCause cause) {
        long nowMs = Clocks.steadyMs();
        for (Map.Entry<HttpConnection, CallerConnection> entry :
                List.copyOf(mConnections.entrySet())) {
            CallerConnection state = entry.getValue();
            if (!state.isIdleLongerThan(limitMs, nowMs)) {
                continue;
            }
            readReceivedBytes(entry.getKey());
            if (state.isIdleLongerThan(limitMs, nowMs)) {
                state.mCloseCause = cause;
                entry.getKey().close();
            }
        }
    }

    /**
     * Ends the connections that may not go on reading. What the system has received is read before.
     *
     * @param bodyRefusal the answer to a request whose body is incomplete
     */
    void endLate(ReadingLimits limits, GatewayRefusal bodyRefusal) {
        mLimits = limits;
        mClock.tick(Clocks.steadyMs());
        for (CallerConnection connection : List.copyOf(mConnections.values())) {
            Optional<EndReason> reason = connection.endReason(limits);
            long countBefore = -1;
            while (reason.isPresent() && connection.mReceived.count() != countBefore) {
                countBefore = connection.mReceived.count();
                readReceivedBytes(connection.mConnection);
                reason = connection.endReason(limits);
            }
            reason.ifPresent(ended -> connection.end(ended, bodyRefusal));
        }
    }

    private long servingMs() {
        return mClock.timeMs(Clocks.steadyMs());
    }

    /**
     * Reads what the system has received on the connection. After the process was held up, timers
     * may run before the event loop has read the connections.
     */
    private static void readReceivedBytes(HttpConnection connection) {
        Channel channel = ((ConnectionBase) connection).channelHandlerContext().channel();
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe reader) {
            reader.read();
        }
    }

    /** Returns the open requests in the order of their arrival. */
    List<OpenRequest> all() {
        return List.copyOf(mOpen);
    }

    int size() {
        return mOpen.size();
    }

    /** Returns the number of open connections, with and without open requests. */
    int connections() {
        return mConnections.size();
    }

    /** Lists who closes connections. */
    enum CloseCause {
        CALLER,
        IDLE_LIMIT,
        READING_LIMIT,
        DRAIN,
        ABORTED_RESPONSE
    }

    private final class CallerConnection {

        private final HttpConnection mConnection;
        private final ConnectionProgress mProgress = new ConnectionProgress(servingMs());
        private final ReceivedBytes mReceived =
                new ReceivedBytes(() -> mProgress.bytesReceived(servingMs()));
        private final Set<OpenRequest> mOpen = new LinkedHashSet<>();
        private CloseCause mCloseCause = CloseCause.CALLER;
        private boolean mIsClosing;
        private long mIdleSinceMs = Clocks.steadyMs();

        private CallerConnection(HttpConnection connection) {
            mConnection = connection;
        }

        Optional<EndReason> endReason(ReadingLimits limits) {
            return mIsClosing ? Optional.empty() : mProgress.endReason(limits, servingMs());
        }

        void end(EndReason reason, GatewayRefusal bodyRefusal) {
            LOG.info("A connection is ended.", LogField.of("reason", reason));
            mCloseCause =
                    reason == EndReason.IDLE ? CloseCause.IDLE_LIMIT : CloseCause.READING_LIMIT;
            Optional<OpenRequest> reading =
                    mOpen.stream().filter(OpenRequest::awaitsAdmission).findFirst();
            if (reading.isPresent()) {
                // The connection closes once the refusal is sent and the rest of the body dropped.
                reading.get().refuseUnadmitted(bodyRefusal);
                return;
            }
            mIsClosing = true;
            if (mProgress.hasPartOfHead()) {
                mReceived.refuseHead(GatewayRefusal.requestTooSlow());
            }
            mConnection.close();
        }

        boolean isIdleLongerThan(long limitMs, long nowMs) {
            return mOpen.isEmpty() && nowMs - mIdleSinceMs > limitMs;
        }
    }

    /** Holds the state of one open request. */
    final class OpenRequest {

        private final CallerConnection mConnection;
        private final long mArrivedMs;
        private final boolean mCallerLeft;
        private String mId;
        private RequestStep mStep = RequestStep.READING;
        private GatewayExchange mExchange;
        private Runnable mOnClosed = () -> {};
        private Consumer<GatewayRefusal> mRefuse = refusal -> {};
        private final HeldBytes.Hold mHold = mBodies.newHold();
        private boolean mBodyRead;
        private boolean mResponseSent;
        private boolean mClosesConnection;
        private long mRestOfBodyBytes;

        private OpenRequest(CallerConnection connection, long arrivedMs, boolean callerLeft) {
            mConnection = connection;
            mArrivedMs = arrivedMs;
            mCallerLeft = callerLeft;
        }

        void setId(Optional<String> id) {
            mId = id.orElse(null);
        }

        String id() {
            return mId;
        }

        long arrivedMs() {
            return mArrivedMs;
        }

        RequestStep step() {
            boolean exchangeDecides = mExchange != null && mStep == RequestStep.ADMISSION;
            return exchangeDecides ? mExchange.step() : mStep;
        }

        /** Sets the action to run if the connection closes before the response has ended. */
        void onClosed(Runnable action) {
            mOnClosed = action;
        }

        /** Sets how the request is refused as long as it has not been admitted. */
        void onRefuse(Consumer<GatewayRefusal> refuse) {
            mRefuse = refuse;
        }

        /** Refuses the request if it is still being read or looked up. */
        void refuseUnadmitted(GatewayRefusal refusal) {
            if (awaitsAdmission()) {
                mRefuse.accept(refusal);
            }
        }

        /** Returns whether the request has neither been admitted nor answered, and may be. */
        boolean awaitsAdmission() {
            return !mCallerLeft && (mStep == RequestStep.READING || mStep == RequestStep.LOOKUP);
        }

        /**
         * Holds bytes of the body until the request is done; returns whether the bound allows it.
         */
        boolean tryHold(long bytes) {
            return mHold.tryAdd(bytes);
        }

        /** Stops holding the body of a request that is refused. */
        void refused() {
            mStep = RequestStep.FLUSHING;
            mHold.release();
            mConnection.mProgress.refused(servingMs());
        }

        /** Sets in how many milliseconds the body must have arrived. */
        void bodyDueIn(long remainingMs) {
            mConnection.mProgress.bodyDue(servingMs() + remainingMs);
        }

        /** Counts bytes of the body that have been read. */
        void bodyReceived(long bytes) {
            mRestOfBodyBytes -= bytes;
            mConnection.mProgress.bodyReceived(bytes);
        }

        /**
         * Sets the announced length of the body in bytes; the greatest value if it is not known.
         */
        void bodyAnnounced(long bytes) {
            mRestOfBodyBytes = bytes;
        }

        /** Returns whether too much of the body is outstanding to use the connection again. */
        boolean isRestOfBodyLong() {
            return !mBodyRead && mRestOfBodyBytes > ConnectionProgress.MAX_REST_OF_KEPT_BYTES;
        }

        /** Closes the connection once the response is sent and the body read. */
        void closeWhenDone() {
            mClosesConnection = true;
        }

        void bodyRead() {
            mBodyRead = true;
            mConnection.mProgress.requestRead();
            removeIfDone();
        }

        void lookupStarted() {
            mStep = RequestStep.LOOKUP;
            mConnection.mProgress.bodyPaused(servingMs());
        }

        /** Goes on reading the body after the lookup. */
        void lookupEnded() {
            mStep = RequestStep.READING;
            mConnection.mProgress.bodyResumed(servingMs());
        }

        void admitted(GatewayExchange exchange) {
            mStep = RequestStep.ADMISSION;
            mExchange = exchange;
        }

        /** Returns the exchange of the request; null if it has not been admitted. */
        GatewayExchange exchange() {
            return mExchange;
        }

        /** Waits until the response, which has ended, has been sent. */
        void flushing(Future<Void> sent) {
            mStep = RequestStep.FLUSHING;
            sent.onComplete(
                    result -> {
                        if (result.failed()) {
                            closed();
                        } else {
                            mResponseSent = true;
                            removeIfDone();
                        }
                    });
        }

        private void removeIfDone() {
            if (mBodyRead && mResponseSent) {
                remove();
                if (mClosesConnection) {
                    mConnection.mConnection.close();
                }
            }
        }

        private boolean remove() {
            mHold.release();
            mConnection.mOpen.remove(this);
            mConnection.mIdleSinceMs = Clocks.steadyMs();
            if (mConnection.mOpen.isEmpty()) {
                mConnection.mProgress.answered(servingMs(), mLimits.idleTimeoutMs());
            }
            return mOpen.remove(this);
        }

        void aborted() {
            mConnection.mCloseCause = CloseCause.ABORTED_RESPONSE;
        }

        private void closed() {
            if (!remove()) {
                return;
            }
            LOG.info(
                    "A connection closed with an open request.",
                    LogField.of("id", mId),
                    LogField.of("step", step()),
                    LogField.of("closedBy", mConnection.mCloseCause),
                    LogField.of("ms", Clocks.steadyMs() - mArrivedMs));
            mOnClosed.run();
        }
    }
}
