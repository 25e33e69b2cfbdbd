package org.filbertrudder.gateway.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.StartRecords;

/** Represents an instance that asks the scheduler of a service for starts. */
final class StartSender {

    /** The interval of messages to instances with waiting requests, in milliseconds. */
    private static final long HEARTBEAT_MS = 250;

    /** The time without a full report after which an instance is lost, in milliseconds. */
    private static final long SILENCE_MS = 3_000;

    private final ServiceId mService;
    private Consumer<PeerMessage> mReply;
    private List<StartRecords.Decision> mDecisions = new ArrayList<>();
    private int mWaiting;
    private long mLastFullMs;
    private long mLastSentMs;

    StartSender(ServiceId service, long nowMs) {
        mService = service;
        mLastFullMs = nowMs;
    }

    /** Sets how messages reach the instance. */
    void setReply(Consumer<PeerMessage> reply) {
        mReply = reply;
    }

    /** Changes the number of waiting requests of the instance. */
    void addWaiting(int count) {
        mWaiting += count;
    }

    /** Records a full report. */
    void noteFullReport(long nowMs) {
        mLastFullMs = nowMs;
    }

    /** Excludes a time in which reports were not read from the instance's silence. */
    void excludeFromSilence(long heldUpMs) {
        mLastFullMs += heldUpMs;
    }

    /** Returns whether the instance has sent no full report for too long. */
    boolean isLost(long nowMs) {
        return nowMs - mLastFullMs > SILENCE_MS;
    }

    /** Adds a decision to the next message. */
    void addDecision(StartRecords.Decision decision) {
        mDecisions.add(decision);
    }

    /** Sends the decisions, if there are any. */
    void sendDecisions(long nowMs) {
        if (!mDecisions.isEmpty()) {
            send(nowMs);
        }
    }

    /** Shows that the scheduler is alive if the instance has waiting requests. */
    void sendHeartbeat(long nowMs) {
        if (mWaiting > 0 && nowMs - mLastSentMs >= HEARTBEAT_MS) {
            send(nowMs);
        }
    }

    private void send(long nowMs) {
        List<StartRecords.Decision> decisions = mDecisions;
        mDecisions = new ArrayList<>();
        mLastSentMs = nowMs;
        mReply.accept(new PeerMessage.StartDecisions(mService, decisions));
    }
}
