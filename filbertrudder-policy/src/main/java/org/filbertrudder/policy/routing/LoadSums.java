package org.filbertrudder.policy.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.PeerMessage.EndpointLoad;

/**
 * Sums what the instances of a region have running at its endpoints.
 *
 * <p>One relay of the region keeps the sums and tells them to all that have reported, so that the
 * messages grow with the number of instances and not with its square.
 */
public final class LoadSums {

    /** The age after which a report is worth nothing, in milliseconds. */
    public static final long REPORT_LIFETIME_MS = 3_000;

    private final Map<InstanceId, Report> mReports = new HashMap<>();

    /** Adopts the newest report of an instance. */
    public void report(InstanceId from, List<EndpointLoad> loads, long nowMs) {
        mReports.put(from, new Report(List.copyOf(loads), nowMs));
    }

    /** Returns the instances that have reported lately. */
    public Set<InstanceId> reporters(long nowMs) {
        forgetOld(nowMs);
        return Set.copyOf(mReports.keySet());
    }

    private void forgetOld(long nowMs) {
        mReports.values().removeIf(report -> nowMs - report.atMs() > REPORT_LIFETIME_MS);
    }

    /** Returns the sum of all recent reports, by endpoint. */
    public Map<EndpointId, EndpointLoad> sum(long nowMs) {
        forgetOld(nowMs);
        Map<EndpointId, EndpointLoad> sums = new HashMap<>();
        for (Report report : mReports.values()) {
            report.loads().forEach(load -> sums.merge(load.endpoint(), load, LoadSums::plus));
        }
        return sums;
    }

    /** Returns what others have running, given the sum of all and the part of one instance. */
    public static EndpointLoad without(EndpointLoad sum, EndpointLoad own) {
        if (own == null) {
            return sum;
        }
        return new EndpointLoad(
                sum.endpoint(),
                Math.max(0, sum.requests() - own.requests()),
                Math.max(0, sum.prefillMs() - own.prefillMs()),
                Math.max(0, sum.memoryTokens() - own.memoryTokens()));
    }

    private static EndpointLoad plus(EndpointLoad one, EndpointLoad other) {
        return new EndpointLoad(
                one.endpoint(),
                one.requests() + other.requests(),
                one.prefillMs() + other.prefillMs(),
                one.memoryTokens() + other.memoryTokens());
    }

    private record Report(List<EndpointLoad> loads, long atMs) {}
}
