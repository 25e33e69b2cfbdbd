package org.filbertrudder.gateway.traffic;

import java.util.Locale;
import java.util.Map;
import org.filbertrudder.entry.traffic.HeadBudget;
import org.filbertrudder.entry.traffic.HeadRefusals;

/** Formats and counts the refusals of heads that are not parsed. */
final class GatewayHeadRefusals implements HeadRefusals {

    /** When to come back after a refusal for the heads that are held, in milliseconds. */
    private static final long RETRY_AFTER_MS = 1_000;

    private final HttpProtocol mProtocol;
    private final GatewayMetrics mMetrics;
    private final long mMaxHeadBytes;

    GatewayHeadRefusals(HttpProtocol protocol, GatewayMetrics metrics, long maxHeadBytes) {
        mProtocol = protocol;
        mMetrics = metrics;
        mMaxHeadBytes = maxHeadBytes;
    }

    @Override
    public String tooLong() {
        return format(GatewayRefusal.headTooLong(mMaxHeadBytes), Map.of());
    }

    @Override
    public String overloaded() {
        return format(
                GatewayRefusal.headsOverloaded(RETRY_AFTER_MS),
                Map.of(
                        mProtocol.retryAfterHeaderName(),
                        mProtocol.formatRetryAfter(RETRY_AFTER_MS)));
    }

    private static String format(GatewayRefusal refusal, Map<String, String> headers) {
        return HeadRefusals.format(refusal.status(), headers, refusal.body());
    }

    @Override
    public void refused(HeadBudget.Decision reason) {
        mMetrics.counter("heads_" + reason.name().toLowerCase(Locale.ROOT)).inc();
    }
}
