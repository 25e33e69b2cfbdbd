package org.filbertrudder.policy.tokens;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Records token consumption and compares it with rate * T + burst over every window T. */
final class ConsumptionRecorder {

    private final List<Consumption> mConsumptions = new ArrayList<>();

    void add(long atMs, double tokens) {
        mConsumptions.add(new Consumption(atMs, tokens));
    }

    double total() {
        return mConsumptions.stream().mapToDouble(Consumption::tokens).sum();
    }

    /**
     * Returns the largest excess over rate * T + burst over all windows; negative if there is none.
     *
     * <p>Replays the consumption in order of time against a leaky bucket, whose highest fill level
     * minus the burst equals the largest excess over all windows.
     */
    double largestExcess(double ratePerSecond, double burst) {
        List<Consumption> sorted = new ArrayList<>(mConsumptions);
        sorted.sort(Comparator.comparingLong(Consumption::atMs));
        double fillLevel = 0;
        double largest = -burst;
        long lastMs = sorted.isEmpty() ? 0 : sorted.get(0).atMs();
        for (Consumption consumption : sorted) {
            fillLevel =
                    Math.max(0, fillLevel - ratePerSecond * (consumption.atMs() - lastMs) / 1000.0);
            fillLevel += consumption.tokens();
            lastMs = consumption.atMs();
            largest = Math.max(largest, fillLevel - burst);
        }
        return largest;
    }

    private record Consumption(long atMs, double tokens) {}
}
