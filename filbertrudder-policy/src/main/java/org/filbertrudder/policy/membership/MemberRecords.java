package org.filbertrudder.policy.membership;

import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;

/** Checks and compares member records. */
final class MemberRecords {

    private MemberRecords() {}

    /** Rejects an incomplete member record, which would break every later use of the table. */
    static void requireComplete(Member member) {
        boolean complete =
                member != null
                        && member.id() != null
                        && member.region() != null
                        && member.failureDomain() != null
                        && member.host() != null
                        && member.state() != null;
        if (!complete) {
            throw new IllegalArgumentException(
                    "A member record lacks its id, region, failure domain, host or state.");
        }
    }

    /**
     * Returns whether the stored record of a member overrides the one that the member sent: the
     * member is suspected or dead, or its clock has stepped back since an earlier start.
     */
    static boolean isOutdated(Member sender, Member stored) {
        return stored.incarnation() > sender.incarnation()
                || (stored.incarnation() == sender.incarnation() && isSuspectOrDead(stored));
    }

    /** Returns whether a record says that the member has failed, which it can refute. */
    static boolean isSuspectOrDead(Member member) {
        return member.state() == MemberState.SUSPECT || member.state() == MemberState.DEAD;
    }
}
