package org.filbertrudder.policy.routing;

import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import org.filbertrudder.policy.routing.GenerationFleetSimulation.Scenario;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests in a simulated fleet that long answers are finished under load, like short ones. */
public class LongAnswersTest {

    private static final int SEEDS = 3;
    private static final double MIN_SHARE_OF_KIND = 0.5;

    /** The upper ends of the classes by size; the last two are checked. */
    private static final double[] CLASS_ENDS = {0.25, 0.5, 0.7, 0.9, 1};

    /** Lists the scenarios. */
    private enum Load {
        SLOW_ENGINES(new Scenario(8, 6, 1.5, 2, 1.5, 0.4)),
        BURST(new Scenario(8, 6, 2, 2.5, 1.5, 0)),
        MANY_INSTANCES(new Scenario(24, 32, 6, 2, 1.6, 0));

        private final Scenario mScenario;

        Load(Scenario scenario) {
            mScenario = scenario;
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
        StringBuilder tables = new StringBuilder();
        boolean served = true;
        for (int seed = 1; seed <= SEEDS; seed++) {
            Results results = simulate(load, seed);
            tables.append("\nseed %d\n%s".formatted(seed, results.table()));
            for (GenerationKind kind : GenerationKind.values()) {
                double minShare = MIN_SHARE_OF_KIND * results.servedShare(kind);
                served &= results.servedShare(kind, CLASS_ENDS.length - 1) >= minShare;
                served &= results.servedShare(kind, CLASS_ENDS.length - 2) >= minShare;
            }
        }
        assertTrue(served, tables.toString());
    }

    private static Results simulate(Load load, int seed) {
        GenerationFleetSimulation fleet = new GenerationFleetSimulation(seed, load.mScenario);
        return new Results(fleet.run(), fleet.medianMsPerToken());
    }

    /** Holds the requests of a run and the pace of its engines. */
    private record Results(List<SimulatedCall> calls, double medianMsPerToken) {

        private static double share(List<SimulatedCall> calls) {
            return (double) calls.stream().filter(SimulatedCall::served).count() / calls.size();
        }

        private List<SimulatedCall> ofKind(GenerationKind kind) {
            return calls.stream()
                    .filter(call -> call.kind() == kind)
                    .sorted(Comparator.comparingLong(SimulatedCall::size))
                    .toList();
        }

        double servedShare(GenerationKind kind) {
            return share(ofKind(kind));
        }

        double servedShare(GenerationKind kind, int sizeClass) {
            List<SimulatedCall> sorted = ofKind(kind);
            double start = sizeClass == 0 ? 0 : CLASS_ENDS[sizeClass - 1];
            return share(
                    sorted.subList(
                            (int) (start * sorted.size()),
                            (int) (CLASS_ENDS[sizeClass] * sorted.size())));
        }

        /**
         * Returns the value of the answers as a share of that of all requests. A request is worth
         * more the larger it is, and half if its answer begins after the latency goal.
         */
        double earnedShare() {
            double earned = 0;
            double owed = 0;
            for (GenerationKind kind : GenerationKind.values()) {
                List<SimulatedCall> ofKind = ofKind(kind);
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
                table.append("%-7s all %.3f, by size".formatted(kind, servedShare(kind)));
                for (int i = 0; i < CLASS_ENDS.length; i++) {
                    table.append(" %.3f".formatted(servedShare(kind, i)));
                }
                table.append('\n');
            }
            return table.append(
                            "served %.3f, earned %.3f, median %.1f ms a token"
                                    .formatted(share(calls), earnedShare(), medianMsPerToken))
                    .toString();
        }
    }
}
