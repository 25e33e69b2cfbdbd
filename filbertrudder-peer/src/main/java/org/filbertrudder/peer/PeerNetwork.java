package org.filbertrudder.peer;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ProtocolVersions;
import org.filbertrudder.policy.membership.OutboundMessage;
import org.filbertrudder.policy.membership.PeerAddress;

/**
 * Accepts connections from other instances and maintains one outgoing connection per address.
 *
 * <p>Call all methods on the Vert.x context that was passed to the constructor.
 */
public final class PeerNetwork {

    private static final int MAX_PENDING_ACTIONS = 1_000;

    /** The time after which a connection without an awaited answer is closed, in milliseconds. */
    private static final long ANSWER_TIMEOUT_MS = 700;

    private long mLife = new SecureRandom().nextLong(1, Long.MAX_VALUE);
    private final Context mContext;
    private final NetServer mServer;
    private final NetClient mClient;
    private final Supplier<Member> mLocalMember;
    private final PeerHandler mHandler;
    private final Consumer<String> mProtocolErrorListener;
    private final PeerCounters mCounters = new PeerCounters();
    private final Map<PeerAddress, OutgoingConnection> mOutgoing = new HashMap<>();
    private final Set<PeerConnection> mIncoming = new HashSet<>();

    /**
     * Creates a network that passes each received message to the handler and a description of each
     * protocol error to the listener.
     */
    public PeerNetwork(
            Vertx vertx,
            Context context,
            PeerSecurity security,
            Supplier<Member> localMember,
            PeerHandler handler,
            Consumer<String> protocolErrorListener) {
        mContext = context;
        mServer = vertx.createNetServer(security.serverOptions());
        mClient = vertx.createNetClient(security.clientOptions());
        mLocalMember = localMember;
        mHandler = handler;
        mProtocolErrorListener = protocolErrorListener;
    }

    /**
     * Names no process in the hello message, so that forwarded requests end with their connections.
     * Call it where several networks share a port, as another connection may reach another network.
     */
    public void disableResumption() {
        mLife = 0;
    }

    /** Starts to listen and returns the bound port; the future fails if the port is in use. */
    public CompletableFuture<Integer> listen(String host, int port) {
        mServer.connectHandler(this::accept);
        mServer.exceptionHandler(failure -> mCounters.countRejectedConnection());
        return mServer.listen(port, host)
                .map(NetServer::actualPort)
                .toCompletionStage()
                .toCompletableFuture();
    }

    private void accept(NetSocket socket) {
        PeerConnection connection =
                new PeerConnection(
                        socket, mHandler, mCounters, this::hello, mProtocolErrorListener);
        mIncoming.add(connection);
        connection.onClose(() -> mIncoming.remove(connection));
    }

    /** Sends a message; connects first if necessary. Drops the message if the connection fails. */
    public void send(PeerAddress address, PeerMessage message) {
        sendFrame(address, MessageCodec.encode(message), message.expectsAnswer());
    }

    private void sendFrame(PeerAddress address, Buffer frame, boolean expectsAnswer) {
        mOutgoing.computeIfAbsent(address, this::connect).sendFrame(frame, expectsAnswer);
    }

    /** Sends a message to several addresses like {@link #send(PeerAddress, PeerMessage)}. */
    public void send(Collection<PeerAddress> addresses, PeerMessage message) {
        if (addresses.isEmpty()) {
            return;
        }
        Buffer frame = MessageCodec.encode(message);
        for (PeerAddress address : addresses) {
            sendFrame(address, frame, message.expectsAnswer());
        }
    }

    /**
     * Sends each message like {@link #send(PeerAddress, PeerMessage)}; encodes a message only once
     * for successive addresses.
     */
    public void sendAll(Collection<OutboundMessage> messages) {
        PeerMessage encoded = null;
        Buffer frame = null;
        for (OutboundMessage outbound : messages) {
            if (outbound.message() != encoded) {
                encoded = outbound.message();
                frame = MessageCodec.encode(encoded);
            }
            sendFrame(outbound.to(), frame, encoded.expectsAnswer());
        }
    }

    /**
     * Answers a message: what is meant for its sender is sent on the connection on which it came,
     * so that the answer shows that the connection works.
     */
    public void answer(PeerConnection connection, Collection<OutboundMessage> messages) {
        PeerAddress sender = PeerAddress.of(connection.peerMember());
        List<OutboundMessage> others = new ArrayList<>();
        for (OutboundMessage outbound : messages) {
            if (outbound.to().equals(sender)) {
                connection.send(outbound.message());
            } else {
                others.add(outbound);
            }
        }
        sendAll(others);
    }

    /**
     * Runs the action with an open connection, or with null if connecting fails or too many actions
     * already wait for the connection.
     */
    public void withConnection(PeerAddress address, Consumer<? super PeerConnection> action) {
        mOutgoing.computeIfAbsent(address, this::connect).whenOpen(action);
    }

    /** Closes the outgoing connection to an address; the next message reconnects. */
    public void disconnect(PeerAddress address) {
        OutgoingConnection outgoing = mOutgoing.get(address);
        if (outgoing != null) {
            outgoing.close();
        }
    }

    private OutgoingConnection connect(PeerAddress address) {
        OutgoingConnection outgoing = new OutgoingConnection();
        Future<NetSocket> connecting = mClient.connect(address.port(), address.host());
        connecting.onComplete(
                result ->
                        mContext.runOnContext(
                                ignored -> {
                                    if (result.succeeded()) {
                                        onConnected(address, outgoing, result.result());
                                    } else {
                                        mOutgoing.remove(address, outgoing);
                                        outgoing.onConnectFailed();
                                    }
                                }));
        return outgoing;
    }

    private void onConnected(PeerAddress address, OutgoingConnection outgoing, NetSocket socket) {
        PeerConnection connection =
                new PeerConnection(
                        socket, mHandler, mCounters, this::hello, mProtocolErrorListener);
        connection.onClose(() -> mOutgoing.remove(address, outgoing));
        connection.sendHello();
        outgoing.onConnected(connection);
    }

    private PeerMessage.Hello hello() {
        return new PeerMessage.Hello(ProtocolVersions.NEWEST_SUPPORTED, mLocalMember.get(), mLife);
    }

    /**
     * Closes the outgoing connections on which a message that is answered at once has got no answer
     * in time, as a connection may fall silent while the peer is well; returns their addresses.
     *
     * @param sinceLastMs the time since the last call, in milliseconds
     * @param intervalMs the interval at which this method is called, in milliseconds
     */
    public List<PeerAddress> closeSilent(long nowMs, long sinceLastMs, long intervalMs) {
        List<PeerAddress> silent = new ArrayList<>();
        // Messages that came while this instance was held up have not been read yet.
        long heldUpMs = Math.max(0, sinceLastMs - intervalMs);
        Map.copyOf(mOutgoing)
                .forEach(
                        (address, outgoing) -> {
                            PeerConnection connection = outgoing.mConnection;
                            if (connection == null) {
                                return;
                            }
                            connection.excludeFromWait(heldUpMs);
                            if (connection.awaitedForMs(nowMs) > ANSWER_TIMEOUT_MS) {
                                mOutgoing.remove(address, outgoing);
                                connection.close();
                                silent.add(address);
                            }
                        });
        return silent;
    }

    /** Returns the traffic counters of all connections. */
    public PeerCounters counters() {
        return mCounters;
    }

    /** Returns the number of incoming and outgoing connections, including those being opened. */
    public int connectionCount() {
        return mOutgoing.size() + mIncoming.size();
    }

    /** Stops listening and closes all connections. */
    public CompletableFuture<Void> close() {
        new ArrayList<>(mOutgoing.values()).forEach(OutgoingConnection::close);
        new ArrayList<>(mIncoming).forEach(PeerConnection::close);
        return mServer.close().toCompletionStage().toCompletableFuture();
    }

    /** Holds an outgoing connection and the actions that wait for it to open. */
    private static final class OutgoingConnection {

        private final List<Consumer<? super PeerConnection>> mPendingActions = new ArrayList<>();
        private PeerConnection mConnection;

        void sendFrame(Buffer frame, boolean expectsAnswer) {
            whenOpen(
                    connection -> {
                        if (connection == null) {
                            return;
                        }
                        connection.sendFrame(frame);
                        if (expectsAnswer) {
                            connection.awaitAnswer(
                                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
                        }
                    });
        }

        void whenOpen(Consumer<? super PeerConnection> action) {
            if (mConnection != null) {
                action.accept(mConnection);
            } else if (mPendingActions.size() < MAX_PENDING_ACTIONS) {
                mPendingActions.add(action);
            } else {
                action.accept(null);
            }
        }

        void onConnected(PeerConnection connection) {
            mConnection = connection;
            runPendingActions();
        }

        void onConnectFailed() {
            runPendingActions();
        }

        private void runPendingActions() {
            List<Consumer<? super PeerConnection>> pendingActions = List.copyOf(mPendingActions);
            mPendingActions.clear();
            pendingActions.forEach(action -> action.accept(mConnection));
        }

        void close() {
            if (mConnection != null) {
                mConnection.close();
            }
        }
    }
}
