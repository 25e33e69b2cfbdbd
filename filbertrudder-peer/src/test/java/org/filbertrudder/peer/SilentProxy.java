package org.filbertrudder.peer;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes connections on to a port, and drops the bytes of those that were told to be silent. */
final class SilentProxy {

    private final Set<NetSocket> mOpen = ConcurrentHashMap.newKeySet();
    private final Set<NetSocket> mSilent = ConcurrentHashMap.newKeySet();
    private final Vertx mVertx;
    private final NetServer mServer;

    SilentProxy(Vertx vertx, int targetPort) {
        mVertx = vertx;
        mServer = vertx.createNetServer().connectHandler(socket -> accept(socket, targetPort));
        mServer.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
    }

    int port() {
        return mServer.actualPort();
    }

    /** Drops from now on what arrives on the open connections; new connections work. */
    void silenceOpenConnections() {
        mSilent.addAll(mOpen);
    }

    private void accept(NetSocket caller, int targetPort) {
        caller.pause();
        mOpen.add(caller);
        mVertx.createNetClient()
                .connect(targetPort, "127.0.0.1")
                .onSuccess(
                        target -> {
                            pass(caller, target, caller);
                            pass(target, caller, caller);
                            caller.resume();
                        });
    }

    private void pass(NetSocket from, NetSocket to, NetSocket caller) {
        from.handler(
                bytes -> {
                    if (!mSilent.contains(caller)) {
                        to.write(bytes);
                    }
                });
    }
}
