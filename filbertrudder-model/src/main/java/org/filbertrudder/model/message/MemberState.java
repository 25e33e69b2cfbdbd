package org.filbertrudder.model.message;

/** Lists the states of a member; at the same incarnation, the later constant takes precedence. */
public enum MemberState {
    /** Accepts requests from callers and forwarded requests. */
    LIVE,
    /** Is suspected to have failed, and can refute it with a higher incarnation. */
    SUSPECT,
    /** Completes its running requests and accepts no new ones. */
    LEAVING,
    /** Has failed or stopped. */
    DEAD
}
