package org.filbertrudder.peer.forwarding;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.membership.PeerAddress;

/** Two instances on a virtual clock, whose links fall silent, are reset or cannot be opened. */
final class SimulatedForwards {

    static final int PART_BYTES = 100;
    private static final long LATENCY_MS = 20;
    private static final long TICK_MS = 100;
    private static final long CONNECT_TIMEOUT_MS = 1_000;

    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final List<SimulatedLink> mOpenLinks = new ArrayList<>();
    private final Map<String, SimulatedRequest> mRequests = new LinkedHashMap<>();
    private final List<String> mLog = new ArrayList<>();
    private final boolean mReceiverResumes;
    private final HeldBytes mRetained;
    private long mNowMs = 10_000;
    private long mNextEvent;
    private long mUnreachableUntilMs;
    private long mNextLife = 1;
    private long mMaxRetainedBytes;
    private Process mSenderProcess;
    private Process mReceiverProcess;
    private ForwardSender mSender;
    private ForwardReceiver mReceiver;

    SimulatedForwards(boolean receiverResumes, long retainedBytes) {
        mReceiverResumes = receiverResumes;
        mRetained = new HeldBytes(retainedBytes);
        startSender();
        startReceiver();
        at(mNowMs, this::tick);
    }

    private void startSender() {
        mSenderProcess = new Process("sender", mNextLife++);
        mSender = new ForwardSender(this::open, () -> mNowMs, this::log);
    }

    private void startReceiver() {
        mReceiverProcess = new Process("receiver", mNextLife++);
        mReceiver = new ForwardReceiver(this::run, mRetained, () -> mNowMs, this::log);
    }

    private void log(ForwardEvent event) {
        mLog.add(mNowMs + " " + event.message() + " " + event.fields());
    }

    List<String> log() {
        return mLog;
    }

    long nowMs() {
        return mNowMs;
    }

    boolean receiverResumes() {
        return mReceiverResumes;
    }

    boolean wasCut() {
        return mUnreachableUntilMs > 0;
    }

    long maxRetainedBytes() {
        return mMaxRetainedBytes;
    }

    private void tick() {
        mSender.tick(mNowMs);
        mReceiver.tick(mNowMs);
        at(mNowMs + TICK_MS, this::tick);
    }

    /** Runs the action at a time of the virtual clock, after those that were added before. */
    void at(long timeMs, Runnable action) {
        mEvents.add(new Event(timeMs, mNextEvent++, action));
    }

    void runUntil(long timeMs) {
        while (!mEvents.isEmpty() && mEvents.peek().timeMs() <= timeMs) {
            Event event = mEvents.poll();
            mNowMs = Math.max(mNowMs, event.timeMs());
            event.action().run();
            mMaxRetainedBytes = Math.max(mMaxRetainedBytes, mRetained.heldBytes());
        }
        mNowMs = timeMs;
    }

    private void open(PeerAddress address, Consumer<? super ForwardLink> action) {
        for (SimulatedLink link : mOpenLinks) {
            if (link.mOfSender && !link.mClosed && link.mOwner == mSenderProcess) {
                action.accept(link);
                return;
            }
        }
        Process sender = mSenderProcess;
        if (mNowMs < mUnreachableUntilMs) {
            at(mNowMs + CONNECT_TIMEOUT_MS, () -> action.accept(null));
            return;
        }
        at(
                mNowMs + 2 * LATENCY_MS,
                () -> {
                    if (sender == mSenderProcess) {
                        connect(action);
                    }
                });
    }

    private void connect(Consumer<? super ForwardLink> action) {
        SimulatedLink outgoing = new SimulatedLink(true, mSenderProcess);
        SimulatedLink incoming = new SimulatedLink(false, mReceiverProcess);
        outgoing.mOther = incoming;
        incoming.mOther = outgoing;
        mOpenLinks.add(outgoing);
        mOpenLinks.add(incoming);
        outgoing.send(new PeerMessage.Hello(2, member("sender"), mSenderProcess.life()));
        action.accept(outgoing);
    }

    /** Drops from now on what the open links carry in the given directions. */
    void silence(boolean toReceiver, boolean toSender) {
        for (SimulatedLink link : mOpenLinks) {
            link.mSilent |= link.mOfSender ? toReceiver : toSender;
        }
    }

    /** Resets the open links. */
    void reset() {
        for (SimulatedLink link : List.copyOf(mOpenLinks)) {
            link.mSilent = true;
            link.close();
        }
    }

    /** Lets no link open for some time. */
    void cut(long forMs) {
        silence(true, true);
        mUnreachableUntilMs = Math.max(mUnreachableUntilMs, mNowMs + forMs);
    }

    void restartReceiver() {
        reset();
        startReceiver();
        mRequests.values().forEach(request -> request.mReceiverEnded |= request.mSent);
    }

    void restartSender() {
        reset();
        startSender();
        mRequests.values().forEach(request -> request.mSenderEnded |= request.mSent);
    }

    /** Returns the end of the receiver's links, as at a planned stop. */
    CompletableFuture<Void> endLinks() {
        return mReceiver.endLinks();
    }

    SimulatedRequest request(String id, int parts, boolean repeatable) {
        SimulatedRequest request = new SimulatedRequest(id, parts);
        mRequests.put(id, request);
        request.mCall =
                mSender.start(
                        member("receiver"),
                        stream ->
                                new PeerMessage.ForwardStart(
                                        stream,
                                        id,
                                        null,
                                        null,
                                        0,
                                        null,
                                        "POST",
                                        "/",
                                        Map.of(),
                                        new byte[0],
                                        60_000),
                        () -> repeatable,
                        request);
        request.mSent = true;
        request.mRepeatable = repeatable;
        return request;
    }

    private void run(PeerMessage.ForwardStart start, ForwardedResponse response) {
        SimulatedRequest request = mRequests.get(start.requestId());
        request.mRuns++;
        Process process = mReceiverProcess;
        response.onCancel(() -> request.mCancelledRuns++);
        response.onClose(() -> request.mOpenRuns.remove(response));
        request.mOpenRuns.add(response);
        writePart(request, response, process, -1);
    }

    private void writePart(
            SimulatedRequest request, ForwardedResponse response, Process process, int part) {
        at(
                mNowMs + request.mPartIntervalMs,
                () -> {
                    if (process != mReceiverProcess || !request.mOpenRuns.contains(response)) {
                        return;
                    }
                    if (part < 0) {
                        response.sendHead(200, Map.of());
                    } else if (part < request.mParts) {
                        response.write(Buffer.buffer(request.part(part)));
                    } else {
                        response.end(true);
                        return;
                    }
                    Runnable next = () -> writePart(request, response, process, part + 1);
                    if (response.writeQueueFull()) {
                        response.onDrain(next);
                    } else {
                        next.run();
                    }
                });
    }

    static Member member(String id) {
        return new Member(
                InstanceId.of(id),
                1,
                RegionId.of("mtl"),
                FailureDomainId.of("mtl-a"),
                "127.0.0.1",
                1,
                id.equals("receiver") ? 2 : 3,
                1,
                MemberState.LIVE);
    }

    void membersChanged(MemberState receiver) {
        mSender.membersChanged(List.of(member("receiver").withState(receiver)));
    }

    /** Passes a message to the receiver as if it came on the open link. */
    void injectToReceiver(PeerMessage message) {
        mOpenLinks.stream()
                .filter(link -> !link.mOfSender && !link.mClosed)
                .findFirst()
                .ifPresent(link -> mReceiver.handle(link, message));
    }

    private record Process(String id, long life) {}

    private record Event(long timeMs, long order, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            return timeMs != other.timeMs
                    ? Long.compare(timeMs, other.timeMs)
                    : Long.compare(order, other.order);
        }
    }

    /** One end of a connection; what it sends arrives in order, or no more once it is silent. */
    private final class SimulatedLink implements ForwardLink {

        private final boolean mOfSender;
        private final Process mOwner;
        private final List<Runnable> mOnClose = new ArrayList<>();
        private SimulatedLink mOther;
        private Member mPeerMember;
        private long mPeerLife;
        private boolean mHelloSent;
        private boolean mSilent;
        private boolean mOutputEnded;
        private boolean mClosed;

        SimulatedLink(boolean ofSender, Process owner) {
            mOfSender = ofSender;
            mOwner = owner;
        }

        @Override
        public void send(PeerMessage message) {
            if (!mClosed && !mOutputEnded) {
                deliver(() -> mOther.receive(message));
            }
        }

        private void deliver(Runnable action) {
            at(
                    mNowMs + LATENCY_MS,
                    () -> {
                        if (!mSilent) {
                            action.run();
                        }
                    });
        }

        private void receive(PeerMessage message) {
            boolean ended = mOwner != (mOfSender ? mSenderProcess : mReceiverProcess);
            if (mClosed || ended) {
                return;
            }
            if (message instanceof PeerMessage.Hello hello) {
                mPeerMember = hello.sender();
                mPeerLife = hello.life();
                if (!mOfSender && !mHelloSent) {
                    mHelloSent = true;
                    send(
                            new PeerMessage.Hello(
                                    2, member("receiver"), mReceiverResumes ? mOwner.life() : 0));
                }
            }
            if (mOfSender) {
                mSender.handle(this, message);
            } else {
                mReceiver.handle(this, message);
            }
        }

        @Override
        public void close() {
            if (!mClosed) {
                deliver(() -> mOther.closed());
                closed();
            }
        }

        private void closed() {
            if (!mClosed) {
                mClosed = true;
                mOpenLinks.remove(this);
                List.copyOf(mOnClose).forEach(Runnable::run);
            }
        }

        @Override
        public void whenClosed(Runnable action) {
            if (mClosed) {
                action.run();
            } else {
                mOnClose.add(action);
            }
        }

        @Override
        public CompletableFuture<Void> endOutput() {
            CompletableFuture<Void> closed = new CompletableFuture<>();
            whenClosed(() -> closed.complete(null));
            mOutputEnded = true;
            deliver(() -> mOther.close());
            return closed;
        }

        @Override
        public Member peerMember() {
            return mPeerMember;
        }

        @Override
        public long peerLife() {
            return mPeerLife;
        }
    }

    /** A forwarded request with what its sender has received. */
    static final class SimulatedRequest implements ForwardListener {

        final String mId;
        final int mParts;
        final Set<ForwardedResponse> mOpenRuns = new HashSet<>();
        final Buffer mReceived = Buffer.buffer();
        long mPartIntervalMs = 50;
        ForwardCall mCall;
        int mRuns;
        int mCancelledRuns;
        int mHeads;
        int mEnds;
        boolean mSent;
        boolean mRepeatable;
        boolean mCancelled;
        boolean mReceiverEnded;
        boolean mSenderEnded;
        Failure mFailure;

        SimulatedRequest(String id, int parts) {
            mId = id;
            mParts = parts;
        }

        byte[] part(int index) {
            byte[] bytes = new byte[PART_BYTES];
            for (int i = 0; i < bytes.length; i++) {
                bytes[i] = (byte) (mId.hashCode() + index * 31 + i);
            }
            return bytes;
        }

        void cancel() {
            mCancelled = true;
            mCall.cancel();
        }

        /** Returns what is wrong; empty if the invariants hold so far. */
        String violation() {
            if (mRuns > 1) {
                return "ran " + mRuns + " times";
            }
            if (mEnds > 1 || mHeads > 1 || mEnds == 1 && mFailure != null) {
                return "ended more than once";
            }
            if (mFailure == Failure.NOT_RUN && mRuns > 0) {
                return "not run is wrong";
            }
            Buffer expected = Buffer.buffer();
            for (int i = 0; i < mParts; i++) {
                expected.appendBytes(part(i));
            }
            boolean prefix =
                    mReceived.length() <= expected.length()
                            && expected.getBuffer(0, mReceived.length()).equals(mReceived);
            if (!prefix) {
                return "bytes are lost, doubled or reordered";
            }
            return mEnds == 1 && mReceived.length() < expected.length()
                    ? "complete without all bytes"
                    : "";
        }

        boolean isSettled() {
            return mEnds == 1 || mFailure != null || mCancelled || mSenderEnded;
        }

        @Override
        public void head(int status, Map<String, String> headers) {
            mHeads++;
        }

        @Override
        public void data(byte[] data) {
            mReceived.appendBytes(data);
        }

        @Override
        public void ended() {
            mEnds++;
        }

        @Override
        public void failed(Failure failure) {
            mFailure = failure;
        }

        @Override
        public String toString() {
            return mId
                    + ": runs "
                    + mRuns
                    + ", heads "
                    + mHeads
                    + ", bytes "
                    + mReceived.length()
                    + ", ends "
                    + mEnds
                    + ", "
                    + mFailure;
        }
    }
}
