package org.filbertrudder.gateway.traffic;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Consumer;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.EndpointLimitReport;
import org.filbertrudder.policy.limits.EndpointLimits;
import org.filbertrudder.policy.limits.LimitObservation;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.EndpointTable;

/**
 * Records and logs what endpoints state about their request limits, in responses to this instance
 * and to others.
 */
final class EndpointLimitTracker {

    private static final ComponentLogger LOG = ComponentLogger.of("limits");

    /** The maximum number of unknown header names that are logged. */
    private static final int MAX_UNKNOWN_HEADERS = 64;

    /** The maximum length of a logged value, in characters. */
    private static final int MAX_LOGGED_LENGTH = 80;

    /**
     * The longest delay of a report that is allowed for, in milliseconds. The end of a limit that
     * another instance reports counts as observed by that much earlier.
     */
    private static final long MAX_REPORT_DELAY_MS = 1_000;

    /** The greatest age of an observation that is reported or accepted, in milliseconds. */
    private static final long MAX_AGE_MS = 86_400_000;

    private final EndpointTable mTable;
    private final GatewayMetrics mMetrics;
    private final Consumer<EndpointId> mOnRelaxed;
    private final Set<EndpointId> mWithMalformedLimit = new HashSet<>();
    private final Set<String> mUnknownHeaders = new HashSet<>();

    /**
     * Creates a tracker.
     *
     * @param onRelaxed is called with an endpoint that has ended or raised its limit
     */
    EndpointLimitTracker(
            EndpointTable table, GatewayMetrics metrics, Consumer<EndpointId> onRelaxed) {
        mTable = table;
        mMetrics = metrics;
        mOnRelaxed = onRelaxed;
        metrics.gauge("limited_endpoints", table.limits()::size);
    }

    /** Counts a request that is sent to an endpoint while the endpoint has a limit. */
    void noteSend(EndpointId endpoint) {
        if (mTable.limits().perSecond(endpoint).isPresent()) {
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

    /** Returns what this instance knows about the limits of a region's endpoints. */
    List<EndpointLimitReport> reports(RegionId region) {
        long nowMs = Clocks.steadyMs();
        List<EndpointLimitReport> reports = new ArrayList<>();
        mTable.limits()
                .forEach(
                        (endpoint, observation) -> {
                            if (isInRegion(endpoint, region)) {
                                reports.add(report(endpoint, observation, nowMs));
                            }
                        });
        return reports;
    }

    private boolean isInRegion(EndpointId endpoint, RegionId region) {
        return mTable.findById(endpoint)
                .map(EndpointState::endpoint)
                .filter(each -> each.region().equals(region))
                .isPresent();
    }

    /** Returns what this instance knows about the limit of an endpoint. */
    EndpointLimitReport report(EndpointId endpoint) {
        long nowMs = Clocks.steadyMs();
        return mTable.limits()
                .find(endpoint)
                .map(observation -> report(endpoint, observation, nowMs))
                .orElse(new EndpointLimitReport(endpoint, null, MAX_AGE_MS, MAX_AGE_MS));
    }

    private static EndpointLimitReport report(
            EndpointId endpoint, LimitObservation observation, long nowMs) {
        return new EndpointLimitReport(
                endpoint,
                observation.perSecond().isPresent() ? observation.perSecond().getAsDouble() : null,
                Math.min(MAX_AGE_MS, nowMs - observation.sentMs()),
                Math.min(MAX_AGE_MS, nowMs - observation.receivedMs()));
    }

    /** Records what another instance knows about the limits of endpoints. */
    void applyReports(InstanceId from, List<EndpointLimitReport> reports) {
        long nowMs = Clocks.steadyMs();
        for (EndpointLimitReport report : reports) {
            if (!isValid(report)) {
                LOG.warn(
                        "A malformed report of a limit is ignored.",
                        LogField.of("endpoint", report.endpoint()),
                        LogField.of("from", from));
                continue;
            }
            boolean lifted = report.perSecond() == null;
            long delayMs = lifted ? MAX_REPORT_DELAY_MS : 0;
            record(
                    report.endpoint(),
                    new LimitObservation(
                            lifted ? OptionalDouble.empty() : OptionalDouble.of(report.perSecond()),
                            nowMs - report.sentAgeMs() - delayMs,
                            nowMs - report.receivedAgeMs()),
                    LogField.of("from", from));
        }
    }

    private static boolean isValid(EndpointLimitReport report) {
        boolean validLimit =
                report.perSecond() == null
                        || (Double.isFinite(report.perSecond()) && report.perSecond() >= 0);
        boolean validAges =
                report.receivedAgeMs() >= 0
                        && report.sentAgeMs() >= report.receivedAgeMs()
                        && report.sentAgeMs() <= MAX_AGE_MS;
        return report.endpoint() != null && validLimit && validAges;
    }

    private void record(EndpointId endpoint, LimitObservation observation, LogField source) {
        Optional<EndpointLimits.Change> change =
                mTable.recordLimit(endpoint, observation, Clocks.steadyMs());
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
        if (change.get().isRelaxed()) {
            mOnRelaxed.accept(endpoint);
        }
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
