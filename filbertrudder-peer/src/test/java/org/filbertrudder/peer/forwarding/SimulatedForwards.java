package org.filbertrudder.peer.forwarding;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ProtocolVersions;
import org.filbertrudder.policy.membership.PeerAddress;

/**
 * Two instances on a virtual clock, whose links fall silent, are reset or cannot be opened, and
 * whose processes freeze: what reaches a frozen process waits, and comes at once afterwards.
 */
final class SimulatedForwards {

    static final int PART_BYTES = 100;
    private static final long LATENCY_MS = 20;
    private static final long TICK_MS = 100;
    private static final long CONNECT_TIMEOUT_MS = 1_000;

    /** The deadline of requests, which an older release needs once a link is silent. */
    private static final long DEADLINE_MS = 60_000;

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
    private long mFrozenMs;
    private boolean mStopping;
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
        Process process = new Process(mNextLife++);
        mSenderProcess = process;
        mSender = new ForwardSender(this::open, () -> clockMs(process), this::log);
    }

    private void startReceiver() {
        Process process = new Process(mNextLife++);
        mReceiverProcess = process;
        mStopping = false;
        mReceiver = new ForwardReceiver(this::run, mRetained, () -> clockMs(process), this::log);
    }

    private long clockMs(Process process) {
        return mNowMs - process.mClockLagMs;
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

    /** Returns for how long processes were frozen, in milliseconds. */
    long frozenMs() {
        return mFrozenMs;
    }

    private void tick() {
        tickSender();
        tickReceiver();
        endLinksOnceDrained();
        at(mNowMs + TICK_MS, this::tick);
    }

    private void tickSender() {
        if (!mSenderProcess.mFrozen) {
            mSender.tick(clockMs(mSenderProcess));
        }
    }

    private void tickReceiver() {
        if (!mReceiverProcess.mFrozen) {
            mReceiver.tick(clockMs(mReceiverProcess));
        }
    }

    /** Runs the action in a process, once it is not frozen. */
    private static void in(Process process, Runnable action) {
        if (process.mFrozen) {
            process.mWaiting.add(action);
        } else {
            action.run();
        }
    }

    /** Runs the action in the present process of the sender, once it is not frozen. */
    void inSender(Runnable action) {
        in(mSenderProcess, action);
    }

    /**
     * Freezes the sender for some time.
     *
     * @param tickFirst whether the first tick afterwards comes before the messages that waited
     * @param suspended whether the clock of the process stands still meanwhile
     */
    void freezeSender(long forMs, boolean tickFirst, boolean suspended) {
        freeze(mSenderProcess, forMs, tickFirst ? this::tickSender : () -> {}, suspended);
    }

    /** Freezes the receiver like {@link #freezeSender}. */
    void freezeReceiver(long forMs, boolean tickFirst, boolean suspended) {
        freeze(mReceiverProcess, forMs, tickFirst ? this::tickReceiver : () -> {}, suspended);
    }

    private void freeze(Process process, long forMs, Runnable first, boolean suspended) {
        if (process.mFrozen) {
            return;
        }
        process.mFrozen = true;
        mFrozenMs += forMs;
        at(
                mNowMs + forMs,
                () -> {
                    if (process != mSenderProcess && process != mReceiverProcess) {
                        return;
                    }
                    process.mFrozen = false;
                    process.mClockLagMs += suspended ? forMs : 0;
                    first.run();
                    List<Runnable> waiting = List.copyOf(process.mWaiting);
                    process.mWaiting.clear();
                    waiting.forEach(Runnable::run);
                });
    }

    /**
     * Stops the receiver: it refuses requests, ends its links once none runs, and is killed.
     *
     * @param killAfterMs when it is killed
     */
    void stopReceiver(long killAfterMs) {
        Process process = mReceiverProcess;
        mStopping = true;
        at(
                mNowMs + killAfterMs,
                () -> {
                    if (process == mReceiverProcess) {
                        restartReceiver();
                    }
                });
    }

    private void endLinksOnceDrained() {
        boolean drained =
                mRequests.values().stream().allMatch(request -> request.mOpenRuns.isEmpty());
        if (mStopping && drained && !mReceiverProcess.mFrozen) {
            mReceiver.endLinks();
        }
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
            at(mNowMs + CONNECT_TIMEOUT_MS, () -> in(sender, () -> action.accept(null)));
            return;
        }
        at(
                mNowMs + 2 * LATENCY_MS,
                () -> {
                    if (sender == mSenderProcess) {
                        in(sender, () -> connect(action));
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
        outgoing.send(new PeerMessage.Hello(2, member("sender"), mSenderProcess.mLife));
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
                        stream -> startMessage(stream, id, DEADLINE_MS),
                        () -> repeatable,
                        request);
        request.mSent = true;
        request.mRepeatable = repeatable;
        if (!mReceiverResumes) {
            Process process = mSenderProcess;
            at(mNowMs + DEADLINE_MS, () -> in(process, request::cancelIfOpen));
        }
        return request;
    }

    private void run(PeerMessage.ForwardStart start, ForwardedResponse response) {
        SimulatedRequest request = mRequests.get(start.requestId());
        if (mStopping) {
            request.mRefused = true;
            response.sendHead(503, Map.of());
            response.end(true);
            return;
        }
        request.mRuns++;
        Process process = mReceiverProcess;
        response.onCancel(() -> request.mCancelledRuns++);
        response.onClose(() -> request.mOpenRuns.remove(response));
        request.mOpenRuns.add(response);
        if (!mReceiverResumes) {
            at(mNowMs + DEADLINE_MS, () -> in(process, () -> response.end(false)));
        }
        writePart(request, response, process, -1);
    }

    private void writePart(
            SimulatedRequest request, ForwardedResponse response, Process process, int part) {
        at(
                mNowMs + request.mPartIntervalMs,
                () -> in(process, () -> writeNow(request, response, process, part)));
    }

    private void writeNow(
            SimulatedRequest request, ForwardedResponse response, Process process, int part) {
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
    }

    /** Returns the message that starts a request without headers and body. */
    static PeerMessage.ForwardStart startMessage(long stream, String id, long deadlineMs) {
        return new PeerMessage.ForwardStart(
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
                deadlineMs,
                null,
                null);
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

    private static final class Process {

        private final long mLife;
        private final List<Runnable> mWaiting = new ArrayList<>();
        private boolean mFrozen;
        private long mClockLagMs;

        Process(long life) {
            mLife = life;
        }
    }

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
            if (message instanceof PeerMessage.ForwardStart start
                    && mOther.mOwner != mReceiverProcess) {
                // The sender was frozen while the receiver ended, and has not read the close yet.
                mRequests.get(start.requestId()).mReceiverEnded = true;
            }
            if (!mClosed && !mOutputEnded) {
                deliver(() -> mOther.receive(message));
            }
        }

        private void deliver(Runnable action) {
            at(
                    mNowMs + LATENCY_MS,
                    () -> {
                        if (!mSilent) {
                            in(mOther.mOwner, action);
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
                // A release without sessions reads no life.
                mPeerLife = mReceiverResumes ? hello.life() : 0;
                if (!mOfSender && !mHelloSent) {
                    mHelloSent = true;
                    send(
                            new PeerMessage.Hello(
                                    2, member("receiver"), mReceiverResumes ? mOwner.mLife : 0));
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
                in(mOwner, () -> List.copyOf(mOnClose).forEach(Runnable::run));
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

        @Override
        public int peerVersion() {
            return ProtocolVersions.NEWEST_SUPPORTED;
        }
    }
}
