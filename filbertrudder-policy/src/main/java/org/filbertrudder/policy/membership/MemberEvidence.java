package org.filbertrudder.policy.membership;

import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.MemberState;

/**
 * Describes evidence that decided about a member's state.
 *
 * @param kind what was observed
 * @param member the member
 * @param state the state that the reporter told
 * @param incarnation the incarnation of the member that the state belongs to
 * @param reporter the instance that told it
 * @param elapsedMs the time since the member's last answer for a held report, since the suspicion
 *     for an answer, in milliseconds
 */
public record MemberEvidence(
        Kind kind,
        InstanceId member,
        MemberState state,
        long incarnation,
        InstanceId reporter,
        long elapsedMs) {

    /** Lists what can be observed. */
    public enum Kind {
        /** A report of a failure is held, as the member has just answered this instance. */
        REPORT_HELD,
        /** A member that this instance suspects has answered through another one. */
        INDIRECT_ANSWER
    }
}
