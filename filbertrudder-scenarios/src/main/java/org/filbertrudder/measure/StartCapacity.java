package org.filbertrudder.measure;

import org.filbertrudder.policy.membership.MembershipSettings;

/** Measures the messages of members that all start at once, as after a loss of power. */
final class StartCapacity implements Experiment {

    private static final int[] SIZES = {8, 30, 95, 300};

    /** The intervals of gateway instances. */
    private static final MembershipSettings SETTINGS =
            new MembershipSettings(500, 1_500, 3_500, 2_000, 60_000, 3);

    @Override
    public Table run(long seed) {
        Table table =
                new Table(
                        "members",
                        "messages_each",
                        "kb_each",
                        "busiest_kb",
                        "all_know_all_ms",
                        "cpu_ms_each");
        for (int size : SIZES) {
            MembershipCapacity.measureStart(table, size, seed, SETTINGS);
        }
        return table;
    }
}
