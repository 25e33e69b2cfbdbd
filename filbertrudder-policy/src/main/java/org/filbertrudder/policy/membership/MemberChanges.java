package org.filbertrudder.policy.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;

/**
 * Collects the changes of members' states and the evidence for them until they are taken, without
 * the oldest of many.
 */
final class MemberChanges {

    private static final int MAX_CHANGES = 256;

    private final Deque<MemberChange> mChanges = new ArrayDeque<>();
    private final Deque<MemberEvidence> mEvidence = new ArrayDeque<>();

    /** Records that a member is known by a new description, if its state differs. */
    void record(Member before, Member after, InstanceId reporter, long unansweredMs) {
        MemberState stateBefore = before == null ? null : before.state();
        if (stateBefore == after.state()) {
            return;
        }
        if (mChanges.size() == MAX_CHANGES) {
            mChanges.removeFirst();
        }
        mChanges.addLast(
                new MemberChange(
                        after.id(),
                        stateBefore,
                        after.state(),
                        after.incarnation(),
                        reporter,
                        unansweredMs));
    }

    /** Returns the changes since the last call. */
    List<MemberChange> take() {
        List<MemberChange> changes = List.copyOf(mChanges);
        mChanges.clear();
        return changes;
    }

    /** Records evidence that decided about a member's state. */
    void record(MemberEvidence evidence) {
        if (mEvidence.size() == MAX_CHANGES) {
            mEvidence.removeFirst();
        }
        mEvidence.addLast(evidence);
    }

    /** Returns the evidence since the last call. */
    List<MemberEvidence> takeEvidence() {
        List<MemberEvidence> evidence = List.copyOf(mEvidence);
        mEvidence.clear();
        return evidence;
    }
}
