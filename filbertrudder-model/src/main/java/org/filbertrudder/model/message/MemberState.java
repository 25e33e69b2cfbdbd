package org.filbertrudder.model.message;

/** Lists the states of a member; a later state wins at the same incarnation. */
public enum MemberState {
    /** Takes callers and forwarded requests. */
    LIVE,
    /** Is thought to have failed, and may still prove the contrary. */
    SUSPECT,
    /** Finishes its running requests and takes no new ones. */
    LEAVING,
    /** Has failed or stopped. */
    DEAD
}
