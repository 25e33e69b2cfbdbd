package org.filbertrudder.policy.membership;

import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.MemberState;

/**
 * Describes a change of a member's state, and on what it is based.
 *
 * @param member the member
 * @param before the earlier state; null if the member was unknown
 * @param after the new state
 * @param incarnation the incarnation of the member that the new state belongs to
 * @param reporter who reported the change; this instance if it has observed it
 * @param unansweredMs for how long this instance's heartbeats to the member had got no answer, in
 *     milliseconds
 */
public record MemberChange(
        InstanceId member,
        MemberState before,
        MemberState after,
        long incarnation,
        InstanceId reporter,
        long unansweredMs) {}
