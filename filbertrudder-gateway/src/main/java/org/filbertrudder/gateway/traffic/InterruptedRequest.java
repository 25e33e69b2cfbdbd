package org.filbertrudder.gateway.traffic;

import org.filbertrudder.policy.retry.RequestDigest;

/**
 * Describes a request whose connection to an endpoint was lost.
 *
 * @param requestId the id that the caller assigned
 * @param digest recognises the request when it is sent again
 * @param prompt the prompt's parts and tokens, for the log
 * @param runningMs the time since the request was sent, in milliseconds
 * @param answerBegun whether a part of the answer had been received
 */
record InterruptedRequest(
        String requestId,
        RequestDigest digest,
        String prompt,
        long runningMs,
        boolean answerBegun) {

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
