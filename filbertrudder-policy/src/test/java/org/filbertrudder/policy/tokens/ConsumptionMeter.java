package org.filbertrudder.policy.tokens;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Checks that consumption never exceeds rate * T + burst over any window T. */
final class ConsumptionMeter {

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
     * <p>Walks over the consumptions in order of time and keeps the level of the bucket that would
     * just have allowed all of them, which is the same as trying all windows.
     */
    double largestExcess(double ratePerSecond, double burst) {
        List<Consumption> sorted = new ArrayList<>(mConsumptions);
        sorted.sort(Comparator.comparingLong(Consumption::atMs));
        double debt = 0;
        double worst = -burst;
        long lastMs = sorted.isEmpty() ? 0 : sorted.get(0).atMs();
        for (Consumption each : sorted) {
            debt = Math.max(0, debt - ratePerSecond * (each.atMs() - lastMs) / 1000.0);
            debt += each.tokens();
            lastMs = each.atMs();
            worst = Math.max(worst, debt - burst);
        }
        return worst;
    }

    private record Consumption(long atMs, double tokens) {}
}
