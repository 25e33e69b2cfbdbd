package org.filbertrudder.gateway.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.config.KeyDigests;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewaySnapshot;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.KeyId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerConnection;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.policy.membership.PeerAddress;

/** Forwards requests to instances in other regions and receives the responses. */
final class GatewayForwardClient {

    private static final ComponentLogger LOG = ComponentLogger.of("forwards");

    /**
     * The longest time without a message before a connection is closed, in milliseconds; the peer
     * sends several keep-alives within it.
     */
    private static final long RECEIVE_TIMEOUT_MS = 2_000;

    private final PeerNetwork mNetwork;
    private final Map<Long, ForwardAttempt> mAttempts = new HashMap<>();
    private final Map<PeerConnection, Long> mLastReceivedMs = new HashMap<>();
    private final Set<PeerConnection> mEndedConnections = new HashSet<>();
    private long mNextStream = 1;

    GatewayForwardClient(PeerNetwork network) {
        mNetwork = network;
    }

    /**
     * Forwards a request to a member, with the id of the last event that the caller has received.
     */
    Attempt start(
            Member member,
            GatewayExchange exchange,
            GatewaySnapshot snapshot,
            long remainingMs,
            AttemptListener listener) {
        long stream = mNextStream++;
        ForwardAttempt attempt =
                new ForwardAttempt(stream, member.id(), exchange.head().requestId(), listener);
        mAttempts.put(stream, attempt);
        Map<String, String> headers = new HashMap<>(exchange.head().passedHeaders());
        // A caller may resume a stream as well, before this instance has relayed any event of it.
        if (exchange.relay() != null || exchange.lastEventId() > 0) {
            headers.put(GatewayForwardServer.RESUME_AFTER, Long.toString(exchange.lastEventId()));
        }
        headers.put(GatewayForwardServer.SERVICE, exchange.service().value());
        PeerMessage.ForwardStart message =
                new PeerMessage.ForwardStart(
                        stream,
                        exchange.head().requestId(),
                        exchange.account().map(account -> account.id()).orElse(null),
                        exchange.head().apiKey().map(KeyDigests::of).orElse((KeyId) null),
                        snapshot.configuration().version(),
                        snapshot.self().region(),
                        exchange.method(),
                        exchange.uri(),
                        headers,
                        exchange.body().getBytes(),
                        remainingMs);
        mNetwork.withConnection(
                PeerAddress.ofForwards(member), connection -> attempt.open(connection, message));
        return attempt;
    }

    /** Handles a message that belongs to a forwarded response; returns false for other messages. */
    boolean handle(PeerConnection from, PeerMessage message) {
        mLastReceivedMs.computeIfPresent(from, (connection, lastReceivedMs) -> Clocks.steadyMs());
        if (message instanceof PeerMessage.ForwardKeepAlive) {
            return true;
        }
        if (message instanceof PeerMessage.ForwardHead head) {
            findAttempt(from, head.stream()).ifPresent(attempt -> attempt.receive(head));
        } else if (message instanceof PeerMessage.ForwardData data) {
            findAttempt(from, data.stream()).ifPresent(attempt -> attempt.receive(data.data()));
        } else if (message instanceof PeerMessage.ForwardEnd end) {
            findAttempt(from, end.stream()).ifPresent(attempt -> attempt.end(end.complete()));
        } else if (message instanceof PeerMessage.ForwardsEnd) {
            endForwards(from);
        } else {
            return false;
        }
        return true;
    }

    private void endForwards(PeerConnection connection) {
        mEndedConnections.add(connection);
        connection.onClose(() -> mEndedConnections.remove(connection));
        List.copyOf(mAttempts.values()).stream()
                .filter(attempt -> attempt.mConnection == connection && !attempt.mAnswered)
                .forEach(attempt -> attempt.fail(AttemptListener.Failure.NOT_SENT));
    }

    private Optional<ForwardAttempt> findAttempt(PeerConnection from, long stream) {
        return Optional.ofNullable(mAttempts.get(stream))
                .filter(attempt -> attempt.mConnection == from);
    }

    /** Closes connections on which attempts wait but no message arrives in time. */
    void tick(long nowMs) {
        Set<PeerConnection> connectionsInUse = new HashSet<>();
        mAttempts.values().stream()
                .filter(attempt -> attempt.mConnection != null)
                .forEach(attempt -> connectionsInUse.add(attempt.mConnection));
        mLastReceivedMs.keySet().retainAll(connectionsInUse);
        for (PeerConnection connection : connectionsInUse) {
            long lastReceivedMs = mLastReceivedMs.computeIfAbsent(connection, key -> nowMs);
            if (nowMs - lastReceivedMs > RECEIVE_TIMEOUT_MS) {
                List<ForwardAttempt> attempts =
                        mAttempts.values().stream()
                                .filter(attempt -> attempt.mConnection == connection)
                                .toList();
                logGivenUp("silent connection", attempts, nowMs);
                mLastReceivedMs.remove(connection);
                connection.close();
            }
        }
    }

    /**
     * Fails the attempts that wait for a connection to a member that is suspected or dead. Once an
     * attempt is sent, only its own connection tells whether the member still answers.
     */
    void membersChanged(List<Member> members) {
        for (Member member : members) {
            boolean unresponsive =
                    member.state() == MemberState.SUSPECT || member.state() == MemberState.DEAD;
            if (unresponsive) {
                List<ForwardAttempt> attempts =
                        mAttempts.values().stream()
                                .filter(attempt -> attempt.mMemberId.equals(member.id()))
                                .filter(attempt -> attempt.mConnection == null)
                                .toList();
                logGivenUp("member " + member.state(), attempts, Clocks.steadyMs());
                attempts.forEach(ForwardAttempt::interrupt);
            }
        }
    }

    private void logGivenUp(String reason, List<ForwardAttempt> attempts, long nowMs) {
        if (attempts.isEmpty()) {
            return;
        }
        ForwardAttempt first = attempts.get(0);
        Long lastReceivedMs = mLastReceivedMs.get(first.mConnection);
        LOG.info(
                "Forwarded requests are given up.",
                LogField.of("member", first.mMemberId),
                LogField.of("reason", reason),
                LogField.of("requests", attempts.size()),
                LogField.of("answered", attempts.stream().filter(each -> each.mAnswered).count()),
                LogField.of(
                        "silentMs", lastReceivedMs == null ? "unknown" : nowMs - lastReceivedMs));
    }

    /** Represents an attempt that forwards its request to a member. */
    private final class ForwardAttempt implements Attempt {

        private final long mStream;
        private final InstanceId mMemberId;
        private final String mRequestId;
        private final AttemptListener mListener;
        private PeerConnection mConnection;
        private PeerConnection.CloseAction mCloseAction;
        private boolean mAnswered;
        private boolean mDone;
        private boolean mPaused;
        private long mUncreditedBytes;

        ForwardAttempt(long stream, InstanceId member, String requestId, AttemptListener listener) {
            mStream = stream;
            mMemberId = member;
            mRequestId = requestId;
            mListener = listener;
        }

        void open(PeerConnection connection, PeerMessage.ForwardStart message) {
            if (mDone) {
                return;
            }
            if (connection == null || mEndedConnections.contains(connection)) {
                fail(AttemptListener.Failure.NOT_SENT);
                return;
            }
            mConnection = connection;
            mCloseAction = connection.onClose(this::interrupt);
            connection.send(message);
        }

        private void finish() {
            mDone = true;
            mAttempts.remove(mStream);
            if (mCloseAction != null) {
                mCloseAction.unregister();
            }
        }

        void receive(PeerMessage.ForwardHead head) {
            mAnswered = true;
            mListener.head(ForwardHeaders.readResponse(mRequestId, head.status(), head.headers()));
        }

        void receive(byte[] data) {
            mUncreditedBytes += data.length;
            mListener.data(Buffer.buffer(data));
            sendCredit();
        }

        private void sendCredit() {
            if (!mPaused && !mDone && mUncreditedBytes >= GatewayForwardServer.CREDIT_STEP_BYTES) {
                mConnection.send(new PeerMessage.ForwardCredit(mStream, mUncreditedBytes));
                mUncreditedBytes = 0;
            }
        }

        void end(boolean complete) {
            if (!complete) {
                interrupt();
            } else if (!mDone) {
                finish();
                mListener.end();
            }
        }

        void interrupt() {
            fail(
                    mConnection == null
                            ? AttemptListener.Failure.NOT_SENT
                            : AttemptListener.Failure.INTERRUPTED);
        }

        private void fail(AttemptListener.Failure failure) {
            if (!mDone) {
                finish();
                mListener.failed(failure);
            }
        }

        @Override
        public void cancel() {
            if (!mDone && mConnection != null) {
                mConnection.send(new PeerMessage.ForwardCancel(mStream));
            }
            finish();
        }

        @Override
        public void pause() {
            mPaused = true;
        }

        @Override
        public void resume() {
            mPaused = false;
            sendCredit();
        }
    }
}
