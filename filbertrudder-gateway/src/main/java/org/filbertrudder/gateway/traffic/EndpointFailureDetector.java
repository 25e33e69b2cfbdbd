package org.filbertrudder.gateway.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.EndpointAvailability;
import org.filbertrudder.gateway.control.GatewayControl;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.SuspectedRestart;
import org.filbertrudder.policy.retry.RequestDigest;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.EndpointTable;
import org.filbertrudder.policy.routing.ProbeSchedule;

/**
 * Detects crashed, stalled and unreachable endpoints, and applies the announcements in responses.
 *
 * <p>After a connection was lost, the detector probes the endpoint with one new connection. If that
 * connection is refused, the endpoint gets no requests until it accepts one, and the requests
 * interrupted there at the same time are reported to the other instances.
 */
final class EndpointFailureDetector {

    private static final ComponentLogger LOG = ComponentLogger.of("endpoints");

    /**
     * 421: another endpoint responds at the registered address. The addressed endpoint backs off
     * like an unreachable one, as its address is only known after the next read of the
     * registrations.
     */
    private static final int STATUS_MISDIRECTED = 421;

    /** The minimum time between two probes of an unsuspected endpoint, in milliseconds. */
    private static final long PROBE_INTERVAL_MS = 1_000;

    /** The maximum number of interrupted requests that one log line names. */
    private static final int MAX_LOGGED_REQUESTS = 8;

    private final EndpointConnectionPools mConnections;
    private final GatewayControl mControl;
    private final EndpointTable mTable;
    private final RegionId mRegion;
    private final EndpointTableUpdater mTableUpdater;
    private final GatewayMetrics mMetrics;
    private final CrashingPartService mCrashingParts;
    private final Map<EndpointId, List<InterruptedRequest>> mInterruptedRequests = new HashMap<>();
    private final Set<EndpointId> mUnreachable = new HashSet<>();
    private final Map<EndpointId, EndpointState> mSuspectedRestarts = new HashMap<>();
    private final Set<EndpointId> mProbing = new HashSet<>();
    private final ProbeSchedule mProbes = new ProbeSchedule(PROBE_INTERVAL_MS);

    EndpointFailureDetector(
            EndpointConnectionPools connections,
            GatewayControl control,
            EndpointTable table,
            RegionId region,
            EndpointTableUpdater tableUpdater,
            GatewayMetrics metrics,
            CrashingPartService crashingParts) {
        mConnections = connections;
        mControl = control;
        mTable = table;
        mRegion = region;
        mTableUpdater = tableUpdater;
        mMetrics = metrics;
        mCrashingParts = crashingParts;
    }

    /**
     * Probes an endpoint after a connection was lost that carried a request; one probe covers all
     * requests interrupted until it completes.
     */
    void probeAfterConnectionLoss(EndpointState endpoint, InterruptedRequest request) {
        boolean probing = mInterruptedRequests.containsKey(endpoint.id());
        mInterruptedRequests.computeIfAbsent(endpoint.id(), id -> new ArrayList<>()).add(request);
        if (probing) {
            return;
        }
        mConnections.open(
                endpoint.endpoint(),
                connection -> {
                    List<InterruptedRequest> interrupted =
                            mInterruptedRequests.remove(endpoint.id());
                    logInterruption(endpoint.id(), interrupted, connection == null);
                    if (connection == null || interrupted.size() > 1) {
                        reportAmbiguousLosses(interrupted);
                    }
                    noteProbeAndRelease(endpoint, connection);
                    if (connection != null) {
                        mProbes.noteHint(endpoint.id(), Clocks.steadyMs());
                        return;
                    }
                    interrupted.forEach(each -> reportCrash(endpoint.id(), each.digest()));
                });
    }

    /**
     * Reports the requests that an idle connection might explain, if the endpoint accepts no
     * connection or has interrupted several of them.
     */
    private void reportAmbiguousLosses(List<InterruptedRequest> interrupted) {
        interrupted.stream()
                .filter(request -> request.isAmbiguous() && !request.answerBegun())
                .forEach(mCrashingParts::recordLoss);
    }

    /** Logs which requests of this instance an endpoint interrupted at the same time. */
    private void logInterruption(
            EndpointId endpoint, List<InterruptedRequest> interrupted, boolean probeRefused) {
        mMetrics.counter(probeRefused ? "endpoint_crashes_seen" : "endpoint_resets_seen").inc();
        LOG.info(
                "An endpoint interrupted requests.",
                LogField.of("endpoint", endpoint),
                LogField.of("startedMs", startedMs(endpoint)),
                LogField.of("cause", probeRefused ? "crash" : "reset"),
                LogField.of("interrupted", interrupted.size()),
                LogField.of(
                        "requests",
                        interrupted.stream()
                                .sorted(Comparator.comparing(InterruptedRequest::answerBegun))
                                .limit(MAX_LOGGED_REQUESTS)
                                .map(InterruptedRequest::summary)
                                .toList()),
                LogField.of("stateAgeMs", mControl.stateFreshness().ageMs(Clocks.now())));
    }

    /** Returns the registered start of an endpoint's process; 0 if it is not registered. */
    private long startedMs(EndpointId endpoint) {
        return mControl.snapshot()
                .endpoint(endpoint)
                .map(EndpointAvailability::startedMs)
                .orElse(0L);
    }

    /**
     * Probes an endpoint that has not responded in time, over a new connection.
     *
     * <p>The endpoint backs off whatever the result, as some endpoints accept connections but never
     * respond.
     */
    void probeAfterStall(EndpointState endpoint) {
        LOG.info("An endpoint does not respond in time.", LogField.of("endpoint", endpoint.id()));
        mConnections.dropIdle(endpoint.id());
        endpoint.markUnreachable(Clocks.steadyMs());
        mConnections.open(
                endpoint.endpoint(), connection -> noteProbeAndRelease(endpoint, connection));
    }

    private void noteProbe(EndpointState endpoint, EndpointConnection connection) {
        if (connection == null) {
            noteConnectionRefused(endpoint);
        } else if (endpoint.noteConnectionAccepted(Clocks.steadyMs())) {
            LOG.info("An endpoint accepts connections.", LogField.of("endpoint", endpoint.id()));
            mTableUpdater.updateCapacity(endpoint, mControl.snapshot());
        }
    }

    private void noteProbeAndRelease(EndpointState endpoint, EndpointConnection connection) {
        noteProbe(endpoint, connection);
        if (connection != null) {
            mConnections.release(endpoint.endpoint(), connection);
        }
    }

    /** Probes the endpoints that refuse connections, and checks whether the others restarted. */
    void tick(long nowMs) {
        long endpointsAsOfMs = mControl.endpointsAsOfMs();
        for (EndpointState endpoint : List.copyOf(mSuspectedRestarts.values())) {
            boolean known = mTable.findById(endpoint.id()).filter(endpoint::equals).isPresent();
            if (startedMs(endpoint.id()) == endpoint.processStartedMs()) {
                endpoint.noteUnchangedRegistration(endpointsAsOfMs);
            }
            if (!known || !endpoint.isRestartSuspected(nowMs)) {
                mSuspectedRestarts.remove(endpoint.id());
                LOG.info(
                        "A suspected restart of an endpoint has been resolved.",
                        LogField.of("endpoint", endpoint.id()),
                        LogField.of("startedMs", endpoint.processStartedMs()),
                        LogField.of("cold", endpoint.isCold(nowMs)),
                        LogField.of("endpointsAgeMs", nowMs - endpointsAsOfMs));
            } else if (endpoint.isConnectionProbeDue(nowMs)) {
                probe(endpoint);
            }
        }
        mProbes.takeDue(nowMs).forEach(id -> findUnsuspected(id).ifPresent(this::probe));
    }

    /** Returns the endpoints of the region that may have restarted, as a report to an instance. */
    List<SuspectedRestart> suspectedRestarts(long nowMs) {
        List<SuspectedRestart> restarts = new ArrayList<>();
        for (EndpointState endpoint : mSuspectedRestarts.values()) {
            OptionalLong refusedMs = endpoint.connectionRefusedMs();
            if (refusedMs.isPresent() && endpoint.endpoint().region().equals(mRegion)) {
                OptionalLong acceptedMs = endpoint.connectionAcceptedMs();
                restarts.add(
                        new SuspectedRestart(
                                endpoint.id(),
                                endpoint.processStartedMs(),
                                Math.min(
                                        SuspectedRestartReporting.MAX_AGE_MS,
                                        nowMs - refusedMs.getAsLong()),
                                acceptedMs.isPresent() ? nowMs - acceptedMs.getAsLong() : -1));
            }
        }
        return restarts;
    }

    /**
     * Suspects the restart of an endpoint because another instance does, unless the registration
     * shows another process by now.
     *
     * @return whether the endpoint is known
     */
    boolean adoptSuspicion(InstanceId from, SuspectedRestart report, long receivedMs) {
        Optional<EndpointState> known = mTable.findById(report.endpoint());
        known.filter(endpoint -> endpoint.processStartedMs() == report.startedMs())
                .filter(endpoint -> endpoint.connectionRefusedMs().isEmpty())
                .ifPresent(endpoint -> adopt(endpoint, from, report, receivedMs));
        return known.isPresent();
    }

    private void adopt(
            EndpointState endpoint, InstanceId from, SuspectedRestart report, long receivedMs) {
        OptionalLong acceptedMs =
                report.acceptedAgeMs() < 0
                        ? OptionalLong.empty()
                        : OptionalLong.of(receivedMs - report.acceptedAgeMs());
        endpoint.adoptRestartSuspicion(
                receivedMs - report.refusedAgeMs(), acceptedMs, mControl.endpointsAsOfMs());
        if (endpoint.isRestartSuspected(Clocks.steadyMs())) {
            mSuspectedRestarts.put(endpoint.id(), endpoint);
            mTableUpdater.updateCapacity(endpoint, mControl.snapshot());
            LOG.info(
                    "Another instance suspects a restart of an endpoint.",
                    LogField.of("endpoint", endpoint.id()),
                    LogField.of("from", from),
                    LogField.of("refusedAgeMs", report.refusedAgeMs()),
                    LogField.of("acceptedAgeMs", report.acceptedAgeMs()));
        }
    }

    /** Follows up the suspicion of an endpoint that has ended or raised its limit. */
    void noteLimitRelaxed(EndpointId id) {
        mTable.findById(id)
                .filter(endpoint -> endpoint.isRestartSuspected(Clocks.steadyMs()))
                .filter(endpoint -> mSuspectedRestarts.putIfAbsent(id, endpoint) == null)
                .ifPresent(
                        endpoint -> {
                            mTableUpdater.updateCapacity(endpoint, mControl.snapshot());
                            LOG.info(
                                    "An endpoint that has relaxed its limit may have restarted.",
                                    LogField.of("endpoint", id));
                        });
    }

    private void probe(EndpointState endpoint) {
        if (mProbing.add(endpoint.id())) {
            mConnections.open(
                    endpoint.endpoint(),
                    connection -> {
                        mProbing.remove(endpoint.id());
                        noteProbe(endpoint, connection);
                        if (connection != null) {
                            connection.close();
                        }
                    });
        }
    }

    /**
     * Probes an endpoint of this region that may have stopped: another instance reports its crash,
     * or it has closed an idle connection. This alone changes nothing: the result decides.
     */
    void probeUnlessSuspected(EndpointId id) {
        findUnsuspected(id)
                .filter(endpoint -> mProbes.noteHint(id, Clocks.steadyMs()))
                .ifPresent(this::probe);
    }

    private Optional<EndpointState> findUnsuspected(EndpointId id) {
        return mTable.findById(id)
                .filter(endpoint -> endpoint.endpoint().region().equals(mRegion))
                .filter(endpoint -> !mSuspectedRestarts.containsKey(id));
    }

    private void reportCrash(EndpointId endpoint, RequestDigest digest) {
        mControl.crashReports()
                .report(
                        new PeerMessage.CrashReport(
                                digest.account(),
                                digest.bodySha256(),
                                endpoint,
                                System.currentTimeMillis(),
                                false));
    }

    /**
     * Sends no requests to an endpoint that has refused a connection until it accepts one, and
     * treats it as restarted until there is evidence of the contrary.
     */
    void noteConnectionRefused(EndpointState endpoint) {
        mMetrics.counter("endpoint_connections_refused").inc();
        endpoint.connectionRefused(Clocks.steadyMs());
        mSuspectedRestarts.put(endpoint.id(), endpoint);
        logUnreachable(endpoint);
    }

    /** Makes an endpoint whose address belongs to another one back off. */
    private void markUnreachable(EndpointState endpoint) {
        endpoint.markUnreachable(Clocks.steadyMs());
        logUnreachable(endpoint);
    }

    /** Logs the first failure of an endpoint since its last response. */
    private void logUnreachable(EndpointState endpoint) {
        if (mUnreachable.add(endpoint.id())) {
            LOG.info("An endpoint accepts no connection.", LogField.of("endpoint", endpoint.id()));
        }
    }

    /** Makes an endpoint back off after it rejected a request without running it. */
    void noteNotExecuted(EndpointState endpoint, int status) {
        if (status == STATUS_MISDIRECTED) {
            markUnreachable(endpoint);
        } else {
            endpoint.backOff(Clocks.steadyMs());
        }
    }

    /**
     * Applies what a response states about the endpoint: that it is shutting down, or asks for a
     * pause.
     */
    void noteResponse(EndpointState endpoint, ResponseHead head, long sentMs) {
        noteResponding(endpoint, sentMs);
        long nowMs = Clocks.steadyMs();
        if (head.leaving() && mTable.recordLeavingAnnouncement(endpoint, nowMs)) {
            LOG.info("An endpoint announces its shutdown.", LogField.of("endpoint", endpoint.id()));
        }
        OptionalLong pauseMs = head.pauseMs();
        if (pauseMs.isPresent() && endpoint.pause(pauseMs.getAsLong(), nowMs)) {
            LOG.info(
                    "An endpoint requests a pause.",
                    LogField.of("endpoint", endpoint.id()),
                    LogField.of("pauseMs", pauseMs.getAsLong()));
        }
    }

    /**
     * Notes that the endpoint responds to a request that was sent at the given time, and logs it
     * after a failed connection.
     */
    void noteResponding(EndpointState endpoint, long sentMs) {
        endpoint.noteResponse(sentMs);
        if (mUnreachable.remove(endpoint.id())) {
            LOG.info("An endpoint responds again.", LogField.of("endpoint", endpoint.id()));
        }
    }
}
