package org.filbertrudder.peer;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.filbertrudder.model.message.Capabilities;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.membership.PeerAddress;

/**
 * Listens for other instances and keeps one outgoing connection to each address in use.
 *
 * <p>All methods must be called on the context that the network was created with.
 */
public final class PeerNetwork {

    private static final int MAX_WAITING_MESSAGES = 1_000;

    private final Context mContext;
    private final NetServer mServer;
    private final NetClient mClient;
    private final Supplier<Member> mSelf;
    private final PeerHandler mHandler;
    private final Consumer<String> mOnViolation;
    private final PeerCounters mCounters = new PeerCounters();
    private final Map<PeerAddress, Outgoing> mOutgoing = new HashMap<>();
    private final Set<PeerConnection> mIncoming = new HashSet<>();

    /** Creates a network that calls the handler with each message that comes in. */
    public PeerNetwork(
            Vertx vertx,
            Context context,
            PeerSecurity security,
            Supplier<Member> self,
            PeerHandler handler,
            Consumer<String> onViolation) {
        mContext = context;
        mServer = vertx.createNetServer(security.serverOptions());
        mClient = vertx.createNetClient(security.clientOptions());
        mSelf = self;
        mHandler = handler;
        mOnViolation = onViolation;
    }

    /** Starts to listen; the future fails if the port is taken. */
    public CompletableFuture<Integer> listen(String host, int port) {
        mServer.connectHandler(this::accept);
        mServer.exceptionHandler(failure -> mCounters.countRejected());
        return mServer.listen(port, host)
                .map(NetServer::actualPort)
                .toCompletionStage()
                .toCompletableFuture();
    }

    private void accept(NetSocket socket) {
        PeerConnection connection = new PeerConnection(socket, mHandler, mCounters, mOnViolation);
        mIncoming.add(connection);
        connection.onClose(() -> mIncoming.remove(connection));
    }

    /** Sends a message; connects first if needed. It is lost if the address is unreachable. */
    public void send(PeerAddress to, PeerMessage message) {
        mOutgoing.computeIfAbsent(to, this::connect).send(message);
    }

    /** Runs the action with an open connection, or with null if there is none to be had. */
    public void withConnection(PeerAddress to, Consumer<PeerConnection> action) {
        mOutgoing.computeIfAbsent(to, this::connect).whenOpen(action);
    }

    /** Closes the outgoing connection to an address; the next message opens a new one. */
    public void drop(PeerAddress to) {
        Outgoing outgoing = mOutgoing.get(to);
        if (outgoing != null) {
            outgoing.close();
        }
    }

    private Outgoing connect(PeerAddress to) {
        Outgoing outgoing = new Outgoing();
        Future<NetSocket> connected = mClient.connect(to.port(), to.host());
        connected.onComplete(
                result ->
                        mContext.runOnContext(
                                ignored -> {
                                    if (result.succeeded()) {
                                        opened(to, outgoing, result.result());
                                    } else {
                                        mOutgoing.remove(to, outgoing);
                                        outgoing.failed();
                                    }
                                }));
        return outgoing;
    }

    private void opened(PeerAddress to, Outgoing outgoing, NetSocket socket) {
        PeerConnection connection = new PeerConnection(socket, mHandler, mCounters, mOnViolation);
        connection.onClose(() -> mOutgoing.remove(to, outgoing));
        connection.greet(new PeerMessage.Hello(Capabilities.VERSION, mSelf.get()));
        outgoing.opened(connection);
    }

    /** Returns the counters of the traffic. */
    public PeerCounters counters() {
        return mCounters;
    }

    /** Returns the number of open connections. */
    public int connections() {
        return mOutgoing.size() + mIncoming.size();
    }

    /** Stops to listen and closes all connections. */
    public CompletableFuture<Void> close() {
        new ArrayList<>(mOutgoing.values()).forEach(Outgoing::close);
        new ArrayList<>(mIncoming).forEach(PeerConnection::close);
        return mServer.close().toCompletionStage().toCompletableFuture();
    }

    /** Holds an outgoing connection and the messages that wait for it to open. */
    private static final class Outgoing {

        private final List<Consumer<PeerConnection>> mWaiting = new ArrayList<>();
        private PeerConnection mConnection;

        void send(PeerMessage message) {
            whenOpen(
                    connection -> {
                        if (connection != null) {
                            connection.send(message);
                        }
                    });
        }

        void whenOpen(Consumer<PeerConnection> action) {
            if (mConnection != null) {
                action.accept(mConnection);
            } else if (mWaiting.size() < MAX_WAITING_MESSAGES) {
                mWaiting.add(action);
            } else {
                action.accept(null);
            }
        }

        void opened(PeerConnection connection) {
            mConnection = connection;
            complete();
        }

        void failed() {
            complete();
        }

        private void complete() {
            List<Consumer<PeerConnection>> waiting = List.copyOf(mWaiting);
            mWaiting.clear();
            waiting.forEach(action -> action.accept(mConnection));
        }

        void close() {
            if (mConnection != null) {
                mConnection.close();
            }
        }
    }
}
