package org.filbertrudder.gateway.traffic;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;

/** Pools idle connections to each endpoint and opens new ones. */
final class EndpointConnectionPools {

    /**
     * The longest idle time of a connection that may carry a request that must not run twice, in
     * milliseconds. On a connection that the endpoint is just closing, the outcome of the request
     * would be unknown.
     */
    private static final long MAX_IDLE_UNREPEATABLE_MS = 1_000;

    private final EndpointConnector mConnector;
    private final ToIntFunction<Endpoint> mMaxIdle;
    private final Consumer<EndpointId> mOnIdleLost;
    private final Map<EndpointId, Pool> mPools = new HashMap<>();
    private long mOpenAttempts;

    /**
     * Creates the pools without any connection.
     *
     * @param maxIdle returns the maximum number of idle connections to keep for an endpoint
     * @param onIdleLost is called with an endpoint that has closed an idle connection before its
     *     idle time was over
     */
    EndpointConnectionPools(
            EndpointConnector connector,
            ToIntFunction<Endpoint> maxIdle,
            Consumer<EndpointId> onIdleLost) {
        mConnector = connector;
        mMaxIdle = maxIdle;
        mOnIdleLost = onIdleLost;
    }

    /**
     * Passes an idle or new connection to the action, or null if none can be opened.
     *
     * @param repeatable whether the request may be sent again if the endpoint has closed the
     *     connection
     */
    void acquire(
            Endpoint endpoint,
            String requestId,
            boolean repeatable,
            Consumer<EndpointConnection> action) {
        Pool pool = pool(endpoint);
        EndpointConnection idle = pool.poll(requestId, repeatable);
        if (idle != null) {
            action.accept(idle);
        } else {
            open(pool, endpoint, action);
        }
    }

    /** Returns the pool of an endpoint; idle connections to a former address are closed. */
    private Pool pool(Endpoint endpoint) {
        Pool pool = mPools.get(endpoint.id());
        if (pool == null || !pool.matches(endpoint)) {
            if (pool != null) {
                pool.closeExpired(Long.MAX_VALUE);
            }
            pool = new Pool(endpoint);
            mPools.put(endpoint.id(), pool);
        }
        return pool;
    }

    /** Passes a new connection to the action, or null if it cannot be opened. */
    void open(Endpoint endpoint, Consumer<EndpointConnection> action) {
        open(pool(endpoint), endpoint, action);
    }

    private void open(Pool pool, Endpoint endpoint, Consumer<EndpointConnection> action) {
        mOpenAttempts++;
        mConnector.connect(
                endpoint.host(),
                endpoint.port(),
                connection -> handleIdleClosed(pool, endpoint, connection),
                action);
    }

    private void handleIdleClosed(Pool pool, Endpoint endpoint, EndpointConnection connection) {
        boolean wasPooled = pool.mIdle.remove(connection);
        if (wasPooled && !connection.isIdleCloseExpected(Clocks.steadyMs())) {
            mOnIdleLost.accept(endpoint.id());
        }
    }

    /** Returns a connection to its pool, or closes it if it is not reusable or the pool is full. */
    void release(Endpoint endpoint, EndpointConnection connection) {
        Pool pool = mPools.get(endpoint.id());
        boolean usable = pool != null && pool.matches(endpoint) && connection.isReusable();
        if (!usable || pool.mIdle.size() >= mMaxIdle.applyAsInt(endpoint)) {
            connection.close();
        } else {
            pool.mIdle.addFirst(connection);
        }
    }

    /**
     * Closes the idle connections to an endpoint, for example after a stall, as they may be
     * unresponsive too.
     */
    void dropIdle(EndpointId endpoint) {
        Pool pool = mPools.get(endpoint);
        if (pool != null) {
            pool.closeExpired(Long.MAX_VALUE);
        }
    }

    /** Closes idle connections that have expired or whose endpoint is no longer registered. */
    void tick(Set<EndpointId> registered) {
        long nowMs = Clocks.steadyMs();
        Iterator<Map.Entry<EndpointId, Pool>> pools = mPools.entrySet().iterator();
        while (pools.hasNext()) {
            Map.Entry<EndpointId, Pool> entry = pools.next();
            boolean unregistered = !registered.contains(entry.getKey());
            entry.getValue().closeExpired(unregistered ? Long.MAX_VALUE : nowMs);
            if (unregistered) {
                pools.remove();
            }
        }
    }

    /** Returns the number of attempts to open a connection so far. */
    long opened() {
        return mOpenAttempts;
    }

    /** Holds the idle connections to one address of an endpoint, the most recently used first. */
    private static final class Pool {

        private final Endpoint mEndpoint;
        private final Deque<EndpointConnection> mIdle = new ArrayDeque<>();

        Pool(Endpoint endpoint) {
            mEndpoint = endpoint;
        }

        boolean matches(Endpoint endpoint) {
            return endpoint.host().equals(mEndpoint.host()) && endpoint.port() == mEndpoint.port();
        }

        EndpointConnection poll(String requestId, boolean repeatable) {
            long nowMs = Clocks.steadyMs();
            closeExpired(nowMs);
            Optional<EndpointConnection> mostRecent =
                    mIdle.stream()
                            .filter(connection -> connection.mayCarry(requestId))
                            .findFirst()
                            .filter(
                                    connection ->
                                            repeatable
                                                    || connection.idleMs(nowMs)
                                                            <= MAX_IDLE_UNREPEATABLE_MS);
            mostRecent.ifPresent(mIdle::remove);
            return mostRecent.orElse(null);
        }

        void closeExpired(long nowMs) {
            List<EndpointConnection> expired = new ArrayList<>();
            mIdle.stream()
                    .filter(connection -> !connection.isReusable() || connection.isExpired(nowMs))
                    .forEach(expired::add);
            mIdle.removeAll(expired);
            expired.forEach(EndpointConnection::close);
        }
    }
}
