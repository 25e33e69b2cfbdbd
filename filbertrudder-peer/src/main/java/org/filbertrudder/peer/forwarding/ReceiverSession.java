package org.filbertrudder.peer.forwarding;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.model.message.ForwardRecords;
import org.filbertrudder.model.message.PeerMessage;

/** Holds the requests that one process of another instance has forwarded, over all its links. */
final class ReceiverSession {

    private final ForwardReceiver mReceiver;
    private final boolean mResumable;
    private final Map<Long, ForwardedResponse> mResponses = new LinkedHashMap<>();

    /** The streams that the sender was told, and may ask again, not to have been started. */
    private final Set<Long> mNeverStarted = new HashSet<>();

    private ForwardLink mLink;
    private int mSenderVersion;
    private long mGeneration;
    private long mIncarnation;
    private long mHighestStream;
    private long mUnlinkedMs;
    private long mLastReceivedMs;

    ReceiverSession(ForwardReceiver receiver, boolean resumable) {
        mReceiver = receiver;
        mResumable = resumable;
    }

    boolean isResumable() {
        return mResumable;
    }

    boolean isLinked() {
        return mLink != null;
    }

    ForwardLink link() {
        return mLink;
    }

    int senderVersion() {
        return mSenderVersion;
    }

    long generation() {
        return mGeneration;
    }

    /** Returns the highest incarnation that the sender's process has stated. */
    long incarnation() {
        return mIncarnation;
    }

    void noteIncarnation(long incarnation) {
        mIncarnation = Math.max(mIncarnation, incarnation);
    }

    long unlinkedMs() {
        return mUnlinkedMs;
    }

    void linkTo(ForwardLink link, long generation, long nowMs) {
        mLink = link;
        mSenderVersion = link.peerVersion();
        mGeneration = generation;
        mLastReceivedMs = nowMs;
    }

    void received(long nowMs) {
        mLastReceivedMs = nowMs;
    }

    void excludeHoldUp(long nowMs, long heldUpMs) {
        mLastReceivedMs = Math.min(nowMs, mLastReceivedMs + heldUpMs);
        mUnlinkedMs = Math.min(nowMs, mUnlinkedMs + heldUpMs);
    }

    /** Returns whether the sender has fallen silent, which sends keep-alives while it waits. */
    boolean isSilent(long nowMs, long timeoutMs) {
        return mLink != null
                && mResumable
                && !mResponses.isEmpty()
                && nowMs - mLastReceivedMs > timeoutMs;
    }

    void unlinked(long nowMs) {
        mLink = null;
        mUnlinkedMs = nowMs;
        responses().stream().filter(each -> !each.isResumable()).forEach(ForwardedResponse::cancel);
    }

    void send(PeerMessage message) {
        if (mLink != null) {
            mLink.send(message);
        }
    }

    /** Returns the response of a new stream; null if the stream was already started. */
    ForwardedResponse start(long stream) {
        if (stream <= mHighestStream) {
            log("A forwarded request that came twice is ignored.", Map.of("stream", stream));
            if (mResumable && !mResponses.containsKey(stream)) {
                send(new PeerMessage.ForwardUnknown(stream, !mNeverStarted.contains(stream)));
            }
            return null;
        }
        mHighestStream = stream;
        ForwardedResponse response = new ForwardedResponse(this, stream, mReceiver.retained());
        mResponses.put(stream, response);
        return response;
    }

    /**
     * Goes on with the responses that the sender waits for, and cancels all others.
     *
     * @param forgotten whether this instance may have known streams that it no longer knows
     */
    void resume(List<ForwardRecords.Open> open, boolean forgotten) {
        Set<Long> awaited = new HashSet<>();
        open.forEach(forward -> awaited.add(forward.stream()));
        responses().stream()
                .filter(response -> !awaited.contains(response.stream()))
                .forEach(ForwardedResponse::cancel);
        mNeverStarted.retainAll(awaited);
        for (ForwardRecords.Open forward : open) {
            ForwardedResponse response = mResponses.get(forward.stream());
            if (response == null) {
                resumeUnknown(forward.stream(), forgotten);
            } else if (!response.resume(forward.receivedParts(), forward.creditedBytes())) {
                fail(response, "a position that is not retained: " + forward.receivedParts());
            }
        }
    }

    private void resumeUnknown(long stream, boolean forgotten) {
        if (stream > mHighestStream) {
            mHighestStream = stream;
            if (!forgotten) {
                mNeverStarted.add(stream);
            }
        }
        send(new PeerMessage.ForwardUnknown(stream, !mNeverStarted.contains(stream)));
    }

    void credit(long stream, long bytes) {
        ForwardedResponse response = mResponses.get(stream);
        if (response != null && !response.credit(bytes)) {
            fail(response, "credit of " + bytes + " bytes");
        }
    }

    void cancel(long stream) {
        ForwardedResponse response = mResponses.get(stream);
        if (response != null) {
            response.cancel();
        }
    }

    private void fail(ForwardedResponse response, String cause) {
        log("A forwarded request is ended.", Map.of("stream", response.stream(), "cause", cause));
        response.cancel();
        send(new PeerMessage.ForwardUnknown(response.stream(), true));
    }

    /** Cancels all requests. */
    void cancelAll() {
        responses().forEach(ForwardedResponse::cancel);
    }

    /** Cancels the requests that have not ended. */
    void cancelRunning() {
        responses().stream().filter(each -> !each.isEnded()).forEach(ForwardedResponse::cancel);
    }

    private List<ForwardedResponse> responses() {
        return List.copyOf(mResponses.values());
    }

    void remove(long stream) {
        mResponses.remove(stream);
    }

    boolean isEmpty() {
        return mResponses.isEmpty();
    }

    /** Returns whether a response has ended that is not acknowledged. */
    boolean hasUndelivered() {
        return mResponses.values().stream().anyMatch(ForwardedResponse::isEnded);
    }

    void log(String message, Map<String, Object> fields) {
        mReceiver.log(message, fields);
    }
}
