package org.filbertrudder.policy.membership;

import java.util.List;
import org.filbertrudder.model.message.Member;

/**
 * Selects the subset of instances that callers with the same key, such as their failure domain and
 * the requested host, are told to use.
 *
 * <p>Callers spread their requests evenly over the instances of their list. So that each instance
 * gets callers in proportion to its strength, a list contains fewer instances the more their
 * strengths differ: the strongest are in nearly all lists and the others in some. The list of a key
 * changes only when the members change, because callers close connections to instances that are no
 * longer listed.
 */
public final class InstanceSubsetSelector {

    /** Maximum number of instances in a list; callers use no more of them. */
    private static final int MAX_LISTED = 64;

    /** Minimum number of instances in a list, so that others remain when some fail. */
    private static final int MIN_LISTED = 6;

    private InstanceSubsetSelector() {}

    /** Returns the instances for the callers that the key identifies. */
    public static List<Member> select(String key, List<Member> available) {
        int strongest = available.stream().mapToInt(Member::strength).max().orElse(1);
        int totalStrength = available.stream().mapToInt(Member::strength).sum();
        int listSize = Math.min(MAX_LISTED, Math.max(MIN_LISTED, totalStrength / strongest));
        return StrengthRank.first(key, available, listSize);
    }
}
