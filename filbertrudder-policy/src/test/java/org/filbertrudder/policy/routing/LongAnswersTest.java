package org.filbertrudder.policy.routing;

import static java.util.stream.Collectors.groupingBy;
import static java.util.stream.Collectors.joining;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.filbertrudder.policy.routing.GenerationFleetSimulation.Scenario;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests in a simulated fleet that long answers are finished under load, like short ones. */
public class LongAnswersTest {

    private static final double MIN_SHARE_OF_KIND = 0.5;

    /** The upper ends of the classes by size; the last two are checked. */
    private static final double[] CLASS_ENDS = {0.25, 0.5, 0.7, 0.9, 1};

    private final Map<Load, List<Results>> mResults = new EnumMap<>(Load.class);

    /** Lists the scenarios. */
    private enum Load {
        SLOW_ENGINES(new Scenario(8, 6, 1.5, 2, 1.5, 0.4), 2, 0.57),
        BURST(new Scenario(8, 6, 2, 2.5, 1.5, 0), 3, 0.56),
        MANY_INSTANCES(new Scenario(24, 32, 6, 2, 1.6, 0), 2, 0.55);

        private final Scenario mScenario;
        private final int mSeeds;
        private final double mMinServedShare;

        Load(Scenario scenario, int seeds, double minServedShare) {
            mScenario = scenario;
            mSeeds = seeds;
            mMinServedShare = minServedShare;
        }
    }

    /** Lists the scenarios. */
    @DataProvider
    public Object[][] loads() {
        return Arrays.stream(Load.values())
                .map(load -> new Object[] {load})
                .toArray(Object[][]::new);
    }

    /** Guards against engines filled without regard to the time that answers take. */
    @Test(dataProvider = "loads")
    public void longAnswersAreServedHalfAsOftenAsTheirKind(Load load) {
        boolean served = true;
        for (Results results : results(load)) {
            for (GenerationKind kind : GenerationKind.values()) {
                double minShare = MIN_SHARE_OF_KIND * results.servedShare(kind);
                served &= results.servedShare(kind, CLASS_ENDS.length - 1) >= minShare;
                served &= results.servedShare(kind, CLASS_ENDS.length - 2) >= minShare;
            }
        }
        assertTrue(served, tables(load));
    }

    @Test(dataProvider = "loads")
    public void longAnswersCostFewOtherAnswers(Load load) {
        double served =
                results(load).stream().mapToDouble(Results::servedShare).average().orElseThrow();
        assertTrue(served >= load.mMinServedShare, served + tables(load));
    }

    private List<Results> results(Load load) {
        return mResults.computeIfAbsent(
                load,
                key ->
                        IntStream.rangeClosed(1, load.mSeeds)
                                .mapToObj(seed -> simulate(load, seed))
                                .toList());
    }

    private String tables(Load load) {
        return results(load).stream().map(Results::table).collect(joining("\n\n", "\n", "\n"));
    }

    private static Results simulate(Load load, int seed) {
        GenerationFleetSimulation fleet = new GenerationFleetSimulation(seed, load.mScenario);
        return Results.of(fleet.run(), fleet.medianMsPerToken());
    }

    /**
     * Holds the results of a run.
     *
     * @param bySize the requests of each kind, smallest first
     * @param medianMsPerToken the median time of a token, in milliseconds
     */
    private record Results(
            Map<GenerationKind, List<SimulatedCall>> bySize, double medianMsPerToken) {

        static Results of(List<SimulatedCall> calls, double medianMsPerToken) {
            return new Results(
                    calls.stream()
                            .sorted(Comparator.comparingLong(SimulatedCall::size))
                            .collect(groupingBy(SimulatedCall::kind)),
                    medianMsPerToken);
        }

        private static double share(List<SimulatedCall> calls, Predicate<SimulatedCall> condition) {
            return (double) calls.stream().filter(condition).count() / calls.size();
        }

        private List<SimulatedCall> ofClass(GenerationKind kind, int sizeClass) {
            List<SimulatedCall> sorted = bySize.get(kind);
            double start = sizeClass == 0 ? 0 : CLASS_ENDS[sizeClass - 1];
            return sorted.subList(
                    (int) (start * sorted.size()), (int) (CLASS_ENDS[sizeClass] * sorted.size()));
        }

        double servedShare() {
            List<SimulatedCall> all = bySize.values().stream().flatMap(List::stream).toList();
            return share(all, SimulatedCall::served);
        }

        double servedShare(GenerationKind kind) {
            return share(bySize.get(kind), SimulatedCall::served);
        }

        double servedShare(GenerationKind kind, int sizeClass) {
            return share(ofClass(kind, sizeClass), SimulatedCall::served);
        }

        /**
         * Returns the value of the answers as a share of that of all requests. A request is worth
         * more the larger it is, and half if its answer begins after the latency goal.
         */
        double earnedShare() {
            double earned = 0;
            double owed = 0;
            for (GenerationKind kind : GenerationKind.values()) {
                List<SimulatedCall> ofKind = bySize.get(kind);
                double mean =
                        ofKind.stream().mapToLong(SimulatedCall::size).average().orElseThrow();
                for (SimulatedCall call : ofKind) {
                    double worth = Math.min(4, 0.3 + 0.7 * call.size() / mean);
                    owed += worth;
                    earned += call.servedInTime() ? worth : call.served() ? worth / 2 : 0;
                }
            }
            return earned / owed;
        }

        String table() {
            StringBuilder table = new StringBuilder();
            for (GenerationKind kind : GenerationKind.values()) {
                table.append("%-6s served %.3f, by size".formatted(kind, servedShare(kind)));
                for (int i = 0; i < CLASS_ENDS.length; i++) {
                    table.append(" %.3f".formatted(servedShare(kind, i)));
                }
                table.append("; left during the answer");
                for (int i = 0; i < CLASS_ENDS.length; i++) {
                    double leftShare = share(ofClass(kind, i), SimulatedCall::leftDuringAnswer);
                    table.append(" %.3f".formatted(leftShare));
                }
                table.append('\n');
            }
            return table.append(
                            "all: served %.3f, earned %.3f, median %.1f ms a token"
                                    .formatted(servedShare(), earnedShare(), medianMsPerToken))
                    .toString();
        }
    }
}
