package org.filbertrudder.gateway.traffic;

import org.filbertrudder.model.EndpointId;
import org.filbertrudder.policy.crashes.SentParts;
import org.filbertrudder.policy.retry.RequestDigest;

/**
 * Describes a request whose connection to an endpoint was lost.
 *
 * @param requestId the id that the caller assigned
 * @param endpoint the endpoint
 * @param digest recognises the request when it is sent again
 * @param prompt the ids of the prompt's parts, for the log
 * @param sentParts the prompt's shared parts, with what was known of them at the send
 * @param runningMs the time since the request was sent, in milliseconds
 * @param answerBegun whether a complete event of the answer had been received
 * @param isAmbiguous whether the connection had been used before and broke so soon that the
 *     endpoint may have closed it while it was idle
 */
record InterruptedRequest(
        String requestId,
        EndpointId endpoint,
        RequestDigest digest,
        String prompt,
        SentParts sentParts,
        long runningMs,
        boolean answerBegun,
        boolean isAmbiguous) {

    /** Returns the request's id, prompt and progress, for the log. */
    String summary() {
        return requestId
                + " "
                + prompt
                + " "
                + (answerBegun ? "answering" : "no-answer")
                + "@"
                + runningMs;
    }
}
