package org.filbertrudder.entry.traffic;

import io.vertx.core.http.HttpConnection;
import io.vertx.ext.web.RoutingContext;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the connections of callers and the requests on them.
 *
 * <p>A request is open from the arrival of its head until its body has arrived and its response has
 * ended.
 */
final class CallerConnections {

    private final Map<HttpConnection, Set<RoutingContext>> mRequests = new HashMap<>();

    void add(HttpConnection connection) {
        mRequests.put(connection, new LinkedHashSet<>());
        connection.closeHandler(ignored -> mRequests.remove(connection));
    }

    /** Tracks a request whose head has arrived. */
    void requestBegun(RoutingContext context) {
        Set<RoutingContext> requests = mRequests.get(context.request().connection());
        if (requests != null) {
            requests.removeIf(other -> !isOpen(other));
            requests.add(context);
            context.addEndHandler(ignored -> requests.removeIf(other -> !isOpen(other)));
        }
    }

    private static boolean isOpen(RoutingContext context) {
        return !context.response().ended() || !context.request().isEnded();
    }

    boolean isEmpty() {
        return mRequests.isEmpty();
    }

    boolean hasOpenRequests() {
        return mRequests.values().stream().flatMap(Set::stream).anyMatch(CallerConnections::isOpen);
    }

    /** Returns the requests whose responses have not begun. */
    List<RoutingContext> unansweredRequests() {
        return mRequests.values().stream()
                .flatMap(Set::stream)
                .filter(context -> !context.response().headWritten())
                .filter(context -> !context.response().ended())
                .toList();
    }

    /** Closes connections without open requests once their last responses have been sent. */
    void closeIdle() {
        for (HttpConnection connection : List.copyOf(mRequests.keySet())) {
            if (mRequests.get(connection).stream().noneMatch(CallerConnections::isOpen)) {
                connection.close();
            }
        }
    }
}
