package org.filbertrudder.measure;

import java.util.List;
import org.filbertrudder.measure.SharedPartsSimulation.Result;

/**
 * Compares how often placements make engines read shared parts of prompts again with the least that
 * any placement needs for the same or earlier first tokens.
 *
 * <p>All placements of a pattern get the same recorded requests.
 */
final class SharedPartsExperiment implements Experiment {

    private static final List<View> VIEWS =
            List.of(new View(6, 250), new View(6, 2_000), new View(32, 250), new View(32, 2_000));

    /**
     * Describes what the instances know of each other.
     *
     * @param deciders the number of instances
     * @param reportAgeMs the age at which load reports arrive, in milliseconds
     */
    record View(int deciders, long reportAgeMs) {

        @Override
        public String toString() {
            return deciders + " at " + reportAgeMs + " ms";
        }
    }

    @Override
    public Table run(long seed) {
        Table table =
                new Table(
                        "pattern",
                        "choice",
                        "deciders",
                        "redundant_pct",
                        "bound_pct",
                        "found_share",
                        "first_token_p50_ms",
                        "first_token_p95_ms",
                        "served_in_time");
        for (SharedPartsPattern pattern : SharedPartsPattern.values()) {
            for (View view : VIEWS) {
                for (PromptChoice choice : PromptChoice.values()) {
                    Result result = simulate(pattern, view, choice, seed);
                    table.add(
                            pattern,
                            choice,
                            view,
                            result.redundantPercent(),
                            result.boundPercent(),
                            result.readTokens().foundShare(),
                            result.firstTokenMs(0.5),
                            result.firstTokenMs(0.95),
                            result.servedInTimeShare());
                }
            }
        }
        return table;
    }

    static Result simulate(SharedPartsPattern pattern, View view, PromptChoice choice, long seed) {
        return new SharedPartsSimulation(
                        pattern.record(view.deciders(), seed),
                        view.deciders(),
                        view.reportAgeMs(),
                        pattern.change(),
                        choice)
                .run();
    }
}
