package org.filbertrudder.measure;

import org.filbertrudder.policy.routing.PromptDemand;

/**
 * Describes a request of a recorded sequence.
 *
 * @param arrivedMs when the request arrives
 * @param decider the index of the instance that places it
 * @param demand the prompt and the output tokens that its caller expects
 * @param outputTokens the tokens of the response
 * @param goalMs the time to first token within which the request counts as served in time
 * @param deadlineMs the time after which the caller leaves, from the arrival on
 */
record RecordedPrompt(
        double arrivedMs,
        int decider,
        PromptDemand demand,
        int outputTokens,
        long goalMs,
        long deadlineMs) {

    /** Returns the tokens that no other request shares. */
    long ownTokens() {
        return demand.parts().get(demand.parts().size() - 1).tokens();
    }
}
