package org.filbertrudder.policy.membership;

import java.util.List;
import org.filbertrudder.model.message.Member;

/**
 * Chooses the instances that callers of one place and host are led to.
 *
 * <p>Callers pick evenly among those that they are told. So that each instance gets callers by its
 * strength, a list names fewer instances the more their strengths differ: the strongest are in
 * nearly all lists and the others by turns. The list of a key changes only with the members, as
 * callers leave connections to instances that are no longer named.
 */
public final class CallerSpread {

    /** The most instances that callers use of one list. */
    private static final int MAX_NAMED = 64;

    /** The least instances in a list, so that the loss of some leaves others to try. */
    private static final int MIN_NAMED = 6;

    private CallerSpread() {}

    /** Returns the instances for the callers that a key stands for. */
    public static List<Member> choose(String key, List<Member> working) {
        int strongest = working.stream().mapToInt(Member::strength).max().orElse(1);
        int total = working.stream().mapToInt(Member::strength).sum();
        int named = Math.min(MAX_NAMED, Math.max(MIN_NAMED, total / strongest));
        return StrengthRank.first(key, working, named);
    }
}
