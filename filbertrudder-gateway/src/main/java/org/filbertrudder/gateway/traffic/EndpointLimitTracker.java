package org.filbertrudder.gateway.traffic;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.policy.limits.EndpointLimits;
import org.filbertrudder.policy.limits.LimitObservation;

/** Records and logs what endpoints state about their request limits. */
final class EndpointLimitTracker {

    private static final ComponentLogger LOG = ComponentLogger.of("limits");

    /** The maximum number of unknown header names that are logged. */
    private static final int MAX_UNKNOWN_HEADERS = 64;

    /** The maximum length of a logged value, in characters. */
    private static final int MAX_LOGGED_LENGTH = 80;

    private final EndpointLimits mLimits;
    private final GatewayMetrics mMetrics;
    private final Set<EndpointId> mWithMalformedLimit = new HashSet<>();
    private final Set<String> mUnknownHeaders = new HashSet<>();

    EndpointLimitTracker(EndpointLimits limits, GatewayMetrics metrics) {
        mLimits = limits;
        mMetrics = metrics;
        metrics.gauge("limited_endpoints", limits::size);
    }

    /** Counts a request that is sent to an endpoint while the endpoint has a limit. */
    void noteSend(EndpointId endpoint) {
        if (mLimits.perSecond(endpoint).isPresent()) {
            mMetrics.counter("requests_to_limited_endpoints").inc();
        }
    }

    /**
     * Records what a response states about the limit of the endpoint.
     *
     * <p>Only a signed response ends a limit, as others may come from a faulty endpoint.
     *
     * @param sentMs when the request of the response was sent
     */
    void noteResponse(EndpointId endpoint, ResponseHead head, String requestId, long sentMs) {
        noteUnknownHeaders(endpoint, head);
        LimitStatement statement = head.limit();
        if (statement.malformed().isPresent()) {
            noteMalformed(endpoint, statement.malformed().get());
            return;
        }
        if (statement.perSecond().isPresent() || head.signed()) {
            LimitObservation observation =
                    new LimitObservation(statement.perSecond(), sentMs, Clocks.steadyMs());
            record(endpoint, observation, LogField.of("id", requestId));
        }
    }

    private void record(EndpointId endpoint, LimitObservation observation, LogField source) {
        Optional<EndpointLimits.Change> change = mLimits.record(endpoint, observation);
        if (change.isEmpty()) {
            return;
        }
        String message =
                switch (change.get().kind()) {
                    case STATED -> "An endpoint states a limit.";
                    case CHANGED -> "An endpoint changes its limit.";
                    case LIFTED -> "An endpoint lifts its limit.";
                };
        LOG.info(
                message,
                LogField.of("endpoint", endpoint),
                LogField.of("perSecond", text(change.get().after())),
                LogField.of("before", text(change.get().before())),
                source,
                LogField.of("ageMs", Clocks.steadyMs() - observation.receivedMs()));
    }

    private static String text(OptionalDouble perSecond) {
        return perSecond.isPresent() ? Double.toString(perSecond.getAsDouble()) : null;
    }

    private void noteMalformed(EndpointId endpoint, String value) {
        mMetrics.counter("malformed_limits").inc();
        if (mWithMalformedLimit.size() < MAX_UNKNOWN_HEADERS && mWithMalformedLimit.add(endpoint)) {
            LOG.warn(
                    "A malformed limit is ignored.",
                    LogField.of("endpoint", endpoint),
                    LogField.of("value", shorten(value)));
        }
    }

    private void noteUnknownHeaders(EndpointId endpoint, ResponseHead head) {
        for (String name : head.unknownHeaders()) {
            mMetrics.counter("unknown_endpoint_headers").inc();
            if (mUnknownHeaders.size() < MAX_UNKNOWN_HEADERS && mUnknownHeaders.add(name)) {
                LOG.warn(
                        "An endpoint sends an unknown header.",
                        LogField.of("endpoint", endpoint),
                        LogField.of("header", shorten(name)));
            }
        }
    }

    private static String shorten(String value) {
        return value.length() <= MAX_LOGGED_LENGTH ? value : value.substring(0, MAX_LOGGED_LENGTH);
    }
}
