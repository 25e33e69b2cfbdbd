package org.filbertrudder.measure;

import org.filbertrudder.policy.membership.MembershipSettings;

/** Measures the messages of members that all start at once, as after a power failure. */
final class MembershipStartCapacity implements Experiment {

    private static final int[] MEMBER_COUNTS = {8, 30, 95, 300};

    /** The intervals that gateway instances use. */
    private static final MembershipSettings SETTINGS =
            new MembershipSettings(500, 1_500, 3_500, 2_000, 60_000, 3);

    @Override
    public Table run(long seed) {
        Table table =
                new Table(
                        "members",
                        "messages_per_member",
                        "kb_per_member",
                        "busiest_member_kb",
                        "all_members_known_ms",
                        "cpu_ms_per_member");
        for (int members : MEMBER_COUNTS) {
            MembershipCapacity.measureSimultaneousStart(table, members, seed, SETTINGS);
        }
        return table;
    }
}
