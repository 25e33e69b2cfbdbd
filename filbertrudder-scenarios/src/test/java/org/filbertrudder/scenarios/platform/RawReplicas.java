package org.filbertrudder.scenarios.platform;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.List;

/** Starts replicas that write the bytes of their responses themselves. */
final class RawReplicas {

    private RawReplicas() {}

    /**
     * Registers a replica of each service, and starts an instance beside them and one elsewhere.
     */
    static void start(
            Vertx vertx,
            PlatformFleet fleet,
            NetServerOptions options,
            Handler<NetSocket> handler) {
        for (String service : List.of(PlatformFleet.MODEL_SERVICE, PlatformFleet.BOOKING_SERVICE)) {
            NetServer server = vertx.createNetServer(options).connectHandler(handler);
            server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
            fleet.store()
                    .put(
                            "servers/" + service + "-1",
                            """
                            {"service":"%s","addr":"127.0.0.1:%d","zone":"mtl-a","version":"v1",
                             "slots":16,"state":"ready","warmupMs":0,"seq":1,"born":1}\
                            """
                                    .formatted(service, server.actualPort()));
        }
        fleet.startGateway("mtl-1", "mtl");
        fleet.startGateway("sag-1", "sag");
    }
}
