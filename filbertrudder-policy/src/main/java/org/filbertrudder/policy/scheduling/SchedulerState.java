package org.filbertrudder.policy.scheduling;

import java.util.Map;
import org.filbertrudder.model.AccountId;

/**
 * Describes what a scheduler knows and has decided, for metrics and the state dump.
 *
 * @param waiting the number of waiting requests
 * @param waitingByRank the number of waiting requests by rank
 * @param waitingByAccount the number of waiting requests by client account
 * @param roomTokens the prompt tokens that could start now
 * @param tokensPerMs the prompt speed of all usable engines together, in tokens per millisecond
 * @param started the number of starts decided so far
 * @param forwarded the number of requests sent to other regions so far
 * @param refusedNoRoom the number of requests refused because they could not start in time
 * @param refusedCannotEnd the number of requests refused because they could not end in time
 * @param placesKept the number of refused requests whose place is kept
 * @param placesUsed the number of returned requests that got their place so far
 */
public record SchedulerState(
        int waiting,
        Map<Integer, Integer> waitingByRank,
        Map<AccountId, Integer> waitingByAccount,
        long roomTokens,
        double tokensPerMs,
        long started,
        long forwarded,
        long refusedNoRoom,
        long refusedCannotEnd,
        long placesKept,
        long placesUsed) {

    /** Makes immutable copies of the maps. */
    public SchedulerState {
        waitingByRank = Map.copyOf(waitingByRank);
        waitingByAccount = Map.copyOf(waitingByAccount);
    }
}
