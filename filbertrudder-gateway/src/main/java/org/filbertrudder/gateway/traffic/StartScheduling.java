package org.filbertrudder.gateway.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerConnection;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.policy.routing.RegionGraph;

/**
 * Connects the client and the server of the start scheduling with each other and with other
 * instances. An instance that is its own scheduler asks itself by a direct call.
 */
final class StartScheduling implements StartNetwork {

    private final StartContext mContext;
    private final PeerNetwork mNetwork;
    private final SchedulingScope mScope;
    private final StartClient mClient;
    private final StartServer mServer;
    private final Map<InstanceId, PeerConnection> mWatched = new HashMap<>();

    StartScheduling(
            SchedulingScope scope, StartContext context, RegionGraph regions, PeerNetwork network) {
        mScope = scope;
        mContext = context;
        mNetwork = network;
        mClient = new StartClient(scope, context, this);
        mServer = new StartServer(context, regions, this);
    }

    StartClient client() {
        return mClient;
    }

    /** Runs the periodic tasks. */
    void tick() {
        mClient.tick();
        mServer.tick();
    }

    /** Handles a message of the start scheduling; returns false for other messages. */
    boolean handle(PeerConnection connection, PeerMessage message) {
        Member from = connection.peerMember();
        return handle(from, message, reply -> reply(connection, from, reply));
    }

    private void reply(PeerConnection connection, Member to, PeerMessage message) {
        if (connection.peerLife() != 0) {
            // Another connection to the instance may be silent.
            connection.send(message);
        } else {
            mNetwork.send(PeerAddress.ofForwards(to), message);
        }
    }

    private boolean handle(Member from, PeerMessage message, Consumer<PeerMessage> reply) {
        if (message instanceof PeerMessage.StartDecisions decisions) {
            mClient.handle(from, decisions);
        } else if (message instanceof PeerMessage.StartRequests requests) {
            if (mServer.handle(from, requests, reply)) {
                mScope.noteScheduledElsewhere(requests.service());
            }
        } else if (message instanceof PeerMessage.StartReport report) {
            mServer.handle(from, report, reply);
        } else if (message instanceof PeerMessage.RegionRoom room) {
            mServer.handle(from, room);
        } else {
            return false;
        }
        return true;
    }

    @Override
    public void send(Member to, PeerMessage message) {
        Member self = mContext.snapshot().get().self();
        if (to.id().equals(self.id())) {
            handle(self, message, reply -> handle(self, reply, ignored -> {}));
            return;
        }
        mNetwork.withConnection(
                PeerAddress.ofForwards(to),
                connection -> {
                    if (connection == null) {
                        mClient.connectionLost(to.id());
                    } else {
                        watch(to.id(), connection);
                        connection.send(message);
                    }
                });
    }

    private void watch(InstanceId id, PeerConnection connection) {
        if (mWatched.put(id, connection) != connection) {
            connection.onClose(
                    () -> {
                        if (mWatched.remove(id, connection)) {
                            mClient.connectionLost(id);
                        }
                    });
        }
    }

    @Override
    public void disconnect(Member to) {
        mWatched.remove(to.id());
        mNetwork.disconnect(PeerAddress.ofForwards(to));
    }
}
