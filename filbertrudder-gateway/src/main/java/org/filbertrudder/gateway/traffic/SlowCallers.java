package org.filbertrudder.gateway.traffic;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.Optional;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.peer.forwarding.HeldBytes;
import org.filbertrudder.policy.connections.UnreadResponses;

/**
 * Applies the bound of what waits for callers that read slowly, where endpoints cut off responses
 * that stay unread.
 */
final class SlowCallers {

    private static final ComponentLogger LOG = ComponentLogger.of("callers");

    /** One of so many parts of the heap may hold what waits for callers. */
    private static final int HEAP_PARTS = 8;

    private final Optional<UnreadResponses> mResponses;

    /**
     * Creates the bound.
     *
     * @param limitsUnreadBytes whether endpoints cut off unread responses; if not, responses are
     *     neither counted nor ended
     * @param bodies bounds what bodies of requests and waiting responses hold together
     */
    SlowCallers(boolean limitsUnreadBytes, HeldBytes bodies) {
        this(Runtime.getRuntime().maxMemory() / HEAP_PARTS, limitsUnreadBytes, bodies);
    }

    SlowCallers(long maxBytes, boolean limitsUnreadBytes, HeldBytes bodies) {
        mResponses =
                limitsUnreadBytes
                        ? Optional.of(new UnreadResponses(maxBytes, new SharedBound(bodies)))
                        : Optional.empty();
    }

    /** Tracks the response to a request; empty if responses are not bounded. */
    Optional<UnreadResponses.Response> track(
            HttpServerRequest request, OpenRequests.OpenRequest open) {
        return mResponses.map(responses -> responses.open(() -> cutOff(request, open)));
    }

    /** Closes the connection of a caller without waiting until it has taken what was written. */
    private static void cutOff(HttpServerRequest request, OpenRequests.OpenRequest open) {
        LOG.warn("A caller that reads too slowly is cut off.", LogField.of("id", open.id()));
        open.aborted();
        // The close of the connection itself waits until everything has been written.
        ((ConnectionBase) request.connection()).channelHandlerContext().close();
    }

    /** Resumes and ends responses as time passes. */
    void tick() {
        mResponses.ifPresent(responses -> responses.tick(Clocks.steadyMs()));
    }

    /** Registers the metrics of waiting responses if they are bounded. */
    void addGauges(GatewayMetrics metrics) {
        mResponses.ifPresent(
                responses -> {
                    metrics.gauge("held_response_bytes", responses::heldBytes);
                    metrics.gauge("responses_paused", responses::paused);
                });
    }

    /** Counts what waits for callers in the bound of the bodies. */
    private record SharedBound(HeldBytes bodies) implements UnreadResponses.SharedBound {

        @Override
        public long freeBytes() {
            return bodies.freeBytes();
        }

        @Override
        public void add(long bytes) {
            bodies.add(bytes);
        }
    }
}
