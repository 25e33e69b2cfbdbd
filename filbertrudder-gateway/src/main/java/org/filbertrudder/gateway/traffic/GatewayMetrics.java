package org.filbertrudder.gateway.traffic;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Locale;
import java.util.Map;
import org.filbertrudder.peer.PeerCounters;

/** Registers the gateway's metrics and writes them as text. */
public final class GatewayMetrics {

    private final MetricRegistry mRegistry = new MetricRegistry();

    /** Returns the counter with the given name. */
    public Counter counter(String name) {
        return mRegistry.counter(name);
    }

    /** Returns the latency histogram with the given base name, in milliseconds. */
    public Histogram latencyMs(String name) {
        return mRegistry.histogram(name + "_ms");
    }

    /** Registers a value that is read when the metrics are written. */
    public void gauge(String name, Gauge<?> gauge) {
        mRegistry.gauge(name, () -> gauge);
    }

    /** Registers the messages and bytes exchanged with other instances on ports of one kind. */
    void peerTraffic(String kind, PeerCounters counters) {
        gauge("peer_" + kind + "_messages_sent", counters::messagesSent);
        gauge("peer_" + kind + "_messages_received", counters::messagesReceived);
        gauge("peer_" + kind + "_bytes_sent", counters::bytesSent);
        gauge("peer_" + kind + "_bytes_received", counters::bytesReceived);
    }

    /** Writes one line for each value: its name, a space and the value. */
    public String toText() {
        StringBuilder text = new StringBuilder();
        mRegistry
                .getCounters()
                .forEach((name, counter) -> appendLine(text, name, counter.getCount()));
        for (Map.Entry<String, Gauge> entry : mRegistry.getGauges().entrySet()) {
            appendLine(text, entry.getKey(), entry.getValue().getValue());
        }
        mRegistry
                .getHistograms()
                .forEach((name, histogram) -> appendHistogram(text, name, histogram));
        return text.toString();
    }

    private static void appendHistogram(StringBuilder text, String name, Histogram histogram) {
        Snapshot snapshot = histogram.getSnapshot();
        appendLine(text, name + "_count", histogram.getCount());
        appendLine(text, name + "{quantile=\"0.5\"}", rounded(snapshot.getMedian()));
        appendLine(text, name + "{quantile=\"0.95\"}", rounded(snapshot.get95thPercentile()));
        appendLine(text, name + "{quantile=\"0.99\"}", rounded(snapshot.get99thPercentile()));
        appendLine(text, name + "_max", snapshot.getMax());
    }

    private static String rounded(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }

    private static void appendLine(StringBuilder text, String name, Object value) {
        text.append("filbertrudder_").append(name).append(' ').append(value).append('\n');
    }
}
