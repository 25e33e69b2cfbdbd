package org.filbertrudder.policy.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.EndpointLoad;

/**
 * Sums the load that the instances of a region have placed on each of its endpoints.
 *
 * <p>One relay instance of the region keeps the sums and sends them to all instances that have
 * reported, so that the number of messages grows linearly with the number of instances and not
 * quadratically.
 */
public final class EndpointLoadSums {

    /** The age after which a report is discarded, in milliseconds. */
    public static final long REPORT_LIFETIME_MS = 3_000;

    private final Map<InstanceId, Report> mReports = new HashMap<>();

    /** Stores the report of an instance in place of its previous one. */
    public void storeReport(InstanceId from, List<EndpointLoad> loads, long nowMs) {
        mReports.put(from, new Report(List.copyOf(loads), nowMs));
    }

    /** Returns the instances whose last report has not expired. */
    public Set<InstanceId> reporters(long nowMs) {
        removeExpired(nowMs);
        return Set.copyOf(mReports.keySet());
    }

    private void removeExpired(long nowMs) {
        mReports.values().removeIf(report -> nowMs - report.receivedMs() > REPORT_LIFETIME_MS);
    }

    /** Returns the sum of all reports that have not expired, by endpoint. */
    public Map<EndpointId, EndpointLoad> sumByEndpoint(long nowMs) {
        removeExpired(nowMs);
        Map<EndpointId, EndpointLoad> sums = new HashMap<>();
        for (Report report : mReports.values()) {
            report.loads()
                    .forEach(load -> sums.merge(load.endpoint(), load, EndpointLoadSums::add));
        }
        return sums;
    }

    /** Subtracts the load of one instance from the sum of all; null stands for no load. */
    public static EndpointLoad loadOfOthers(EndpointLoad sum, EndpointLoad own) {
        if (own == null) {
            return sum;
        }
        return new EndpointLoad(
                sum.endpoint(),
                Math.max(0, sum.requests() - own.requests()),
                Math.max(0, sum.prefillMs() - own.prefillMs()),
                Math.max(0, sum.memoryTokens() - own.memoryTokens()));
    }

    private static EndpointLoad add(EndpointLoad first, EndpointLoad second) {
        return new EndpointLoad(
                first.endpoint(),
                first.requests() + second.requests(),
                first.prefillMs() + second.prefillMs(),
                first.memoryTokens() + second.memoryTokens());
    }

    private record Report(List<EndpointLoad> loads, long receivedMs) {}
}
