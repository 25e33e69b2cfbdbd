package org.filbertrudder.policy.scheduling;

/** Counts the decisions of a scheduler. */
final class DecisionCounts {

    private long mStarted;
    private long mForwarded;
    private long mRefusedNoRoom;
    private long mRefusedCannotEnd;

    void record(StartDecision decision) {
        if (decision instanceof StartDecision.Start) {
            mStarted++;
        } else if (decision instanceof StartDecision.Forward) {
            mForwarded++;
        } else if (decision instanceof StartDecision.Refuse refuse) {
            recordRefusal(refuse.reason());
        }
    }

    private void recordRefusal(RefusalReason reason) {
        switch (reason) {
            case NO_ROOM_IN_TIME, NO_ENDPOINT -> mRefusedNoRoom++;
            case CANNOT_END_IN_TIME -> mRefusedCannotEnd++;
            default -> throw new IllegalArgumentException("unknown reason: " + reason);
        }
    }

    long started() {
        return mStarted;
    }

    long forwarded() {
        return mForwarded;
    }

    /** Returns the refusals for lack of capacity, including those without any endpoint. */
    long refusedNoRoom() {
        return mRefusedNoRoom;
    }

    long refusedCannotEnd() {
        return mRefusedCannotEnd;
    }
}
