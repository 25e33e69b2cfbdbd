package org.filbertrudder.gateway.control;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerConnection;

/** Passes messages of other instances to their handlers by type. */
final class MessageHandlers {

    private final Map<Class<?>, BiConsumer<PeerConnection, PeerMessage>> mHandlers =
            new HashMap<>();

    /** Handles a message; drops one that comes before its sender has identified itself. */
    void receive(PeerConnection connection, PeerMessage message) {
        BiConsumer<PeerConnection, PeerMessage> handler = mHandlers.get(message.getClass());
        if (handler != null && connection.peerMember() != null) {
            handler.accept(connection, message);
        }
    }

    /** Registers a handler that uses the connection. */
    <T extends PeerMessage> void register(Class<T> type, BiConsumer<PeerConnection, T> handler) {
        mHandlers.put(
                type, (connection, message) -> handler.accept(connection, type.cast(message)));
    }

    /** Registers a handler that uses the id of the sender. */
    <T extends PeerMessage> void registerHandler(Class<T> type, BiConsumer<InstanceId, T> handler) {
        register(
                type,
                (connection, message) -> handler.accept(connection.peerMember().id(), message));
    }

    /** Registers a handler whose result is sent on the connection of the message. */
    <T extends PeerMessage> void registerReply(Class<T> type, Function<T, PeerMessage> handler) {
        register(type, (connection, message) -> connection.send(handler.apply(message)));
    }
}
