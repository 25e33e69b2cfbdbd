package org.filbertrudder.peer.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.ForwardRecords;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.membership.PeerAddress;

/**
 * Holds the requests that are forwarded to one address, over one link after the other.
 *
 * <p>When a link closes or falls silent, the requests wait for the next one, on which the session
 * states what it has received of each response. An address may be given to another instance, so
 * that each link is compared with the members for which the requests are meant.
 */
final class SenderSession {

    /** The time without any message after which a link with unanswered keep-alives is silent. */
    private static final long SILENCE_TIMEOUT_MS = 800;

    /**
     * The least time after which a link is silent in one direction, as no keep-alive is answered.
     * Where answers wait behind data it is twice the time that the last ones took.
     */
    private static final long ONE_WAY_SILENCE_TIMEOUT_MS = 2_500;

    private static final long MAX_ONE_WAY_SILENCE_TIMEOUT_MS = 20_000;

    /** The same for an instance of an older release, which sends keep-alives each 500 ms. */
    private static final long OLDER_RELEASE_SILENCE_TIMEOUT_MS = 2_000;

    private static final long GREETING_TIMEOUT_MS = 1_000;

    /** The interval between keep-alives on a link that delivers or is idle, in milliseconds. */
    private static final long KEEP_ALIVE_INTERVAL_MS = 1_000;

    /** The same for a link that delivers nothing though requests are open. */
    private static final long QUIET_KEEP_ALIVE_INTERVAL_MS = 250;

    /** The least time between two tries to open a link, in milliseconds. */
    private static final long REOPEN_INTERVAL_MS = 200;

    /** How long a request waits for a link if it may run at another instance, in milliseconds. */
    private static final long REPEATABLE_PATIENCE_MS = 3_000;

    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    private final ForwardSender mSender;
    private final LongSupplier mClockMs;
    private final PeerAddress mAddress;
    private final Map<Long, ForwardCall> mCalls = new LinkedHashMap<>();
    private final Deque<Long> mKeepAlivesMs = new ArrayDeque<>();

    /** The member that was greeted last, or is to be greeted next if no request was sent to it. */
    private Member mMember;

    private boolean mMemberDead;
    private ForwardLink mLink;
    private boolean mOpening;
    private boolean mReady;
    private boolean mForwardsEnded;

    /** Whether the receiver's process has answered, so that it knows this session. */
    private boolean mKnown;

    /** Whether the receiver may work on requests that have ended here. */
    private boolean mStale;

    /** Whether what the receiver was last told about ended requests may not have arrived. */
    private boolean mEndUnconfirmed;

    private long mLife;
    private long mLinkedMs;
    private long mUnlinkedMs;
    private long mLastReceivedMs;
    private long mLastKeepAliveMs;

    /** How long the answer to a keep-alive takes, halved with each answer that takes less. */
    private long mAnswerDelayMs;

    private long mNextOpenMs;
    private long mReopenedMs = NEVER_MS;
    private long mIdleSinceMs;

    SenderSession(ForwardSender sender, PeerAddress address, LongSupplier clockMs) {
        mSender = sender;
        mAddress = address;
        mClockMs = clockMs;
        mIdleSinceMs = clockMs.getAsLong();
    }

    /** Returns whether two descriptions are of one instance, in the same region. */
    static boolean isSameInstance(Member one, Member other) {
        return one.id().equals(other.id()) && one.region().equals(other.region());
    }

    private void setMember(Member member) {
        mMemberDead &= mMember != null && mMember.id().equals(member.id());
        mMember = member;
    }

    void add(ForwardCall call) {
        if (mForwardsEnded) {
            call.fail(ForwardListener.Failure.NOT_RUN);
            return;
        }
        if (mReady && !call.isMeantFor(mLink.peerMember())) {
            Member peer = mLink.peerMember();
            if (mCalls.isEmpty()) {
                mLink.close();
            }
            failMisdirected(peer, List.of(call));
            return;
        }
        if (!mReady && calls(ForwardCall::isSent).isEmpty()) {
            setMember(call.member());
        }
        mCalls.put(call.stream(), call);
        if (mReady) {
            call.send(mLink, mSender.translation());
        } else if (mLink == null) {
            open();
        }
    }

    void remove(ForwardCall call) {
        mCalls.remove(call.stream());
        mIdleSinceMs = mClockMs.getAsLong();
        mEndUnconfirmed |= call.isSent() && mLife != 0;
    }

    /** Returns whether the message was passed to a link. */
    boolean send(PeerMessage message) {
        if (mReady) {
            mLink.send(message);
        }
        return mReady;
    }

    void cancel(long stream) {
        mStale |= !send(new PeerMessage.ForwardCancel(stream));
    }

    private void open() {
        if (!mOpening) {
            mOpening = true;
            mSender.links().open(mAddress, this::opened);
        }
    }

    private void opened(ForwardLink link) {
        mOpening = false;
        if (link == null) {
            mNextOpenMs = mClockMs.getAsLong() + REOPEN_INTERVAL_MS;
            List<ForwardCall> lost = sentRepeatable();
            exclude(lost);
            failAll(call -> !call.isSent(), ForwardListener.Failure.NOT_RUN);
            failLogged("no connection", lost);
            return;
        }
        mLink = link;
        mLinkedMs = mClockMs.getAsLong();
        mLastReceivedMs = mLinkedMs;
        mSender.linked(link, this);
        if (link.peerMember() != null) {
            greeted();
        }
    }

    /** Handles the hello message of the other instance, which tells whether it is the same. */
    void greeted() {
        if (mReady || mLink == null || mLink.peerMember() == null) {
            return;
        }
        Member peer = mLink.peerMember();
        boolean sameProcess = mLink.peerLife() != 0 && mLink.peerLife() == mLife;
        List<ForwardCall> lost = sameProcess ? List.of() : calls(ForwardCall::isSent);
        List<ForwardCall> misdirected = calls(call -> !call.isSent() && !call.isMeantFor(peer));
        exclude(lost);
        exclude(misdirected);
        if (sameProcess || !mCalls.isEmpty() || isSameInstance(mMember, peer)) {
            setMember(peer);
            begin(sameProcess);
        } else {
            forgetProcess();
            mLink.close();
        }
        failLogged("other process", lost);
        failMisdirected(peer, misdirected);
    }

    /** Sends what is meant for the instance at the other end of the link. */
    private void begin(boolean sameProcess) {
        mKnown &= sameProcess;
        mAnswerDelayMs = sameProcess ? mAnswerDelayMs : 0;
        mLife = mLink.peerLife();
        mReady = true;
        mMemberDead = false;
        mStale = false;
        mEndUnconfirmed = false;
        mLastKeepAliveMs = NEVER_MS;
        if (mLife != 0) {
            List<ForwardRecords.Open> open =
                    mCalls.values().stream()
                            .filter(ForwardCall::isSent)
                            .map(ForwardCall::position)
                            .toList();
            mLink.send(new PeerMessage.ForwardResume(mSender.nextGeneration(), mKnown, open));
            if (!open.isEmpty()) {
                mSender.log(
                        "Forwarded requests go on over another connection.",
                        Map.of(
                                "member",
                                mMember.id(),
                                "requests",
                                open.size(),
                                "afterMs",
                                mClockMs.getAsLong() - mUnlinkedMs));
            }
        }
        calls(call -> !call.isSent()).forEach(call -> call.send(mLink, mSender.translation()));
    }

    /** Forgets the process that was linked before, which can no longer be reached here. */
    private void forgetProcess() {
        mLife = 0;
        mKnown = false;
        mStale = false;
        mEndUnconfirmed = false;
        mAnswerDelayMs = 0;
    }

    /** Handles the close of the link. */
    void closed() {
        boolean wasReady = mReady;
        mStale |= wasReady && mEndUnconfirmed && !mForwardsEnded;
        long nowMs = mClockMs.getAsLong();
        mLink = null;
        mReady = false;
        mForwardsEnded = false;
        mKeepAlivesMs.clear();
        if (wasReady) {
            mUnlinkedMs = nowMs;
        }
        boolean atOnce = wasReady && nowMs - mReopenedMs >= REOPEN_INTERVAL_MS;
        mReopenedMs = atOnce ? nowMs : mReopenedMs;
        mNextOpenMs = atOnce ? nowMs : nowMs + REOPEN_INTERVAL_MS;
        List<ForwardCall> lost = mLife == 0 ? calls(ForwardCall::isSent) : List.of();
        exclude(lost);
        failAll(call -> !call.isSent(), ForwardListener.Failure.NOT_RUN);
        failLogged("closed connection", lost);
        reopenIfNeeded(nowMs);
    }

    /** Handles a message of the receiver. */
    void receive(PeerMessage message) {
        mLastReceivedMs = mClockMs.getAsLong();
        mKnown = mLife != 0;
        if (message instanceof PeerMessage.ForwardKeepAlive) {
            Long askedMs = mKeepAlivesMs.poll();
            if (askedMs != null) {
                mAnswerDelayMs = Math.max(mLastReceivedMs - askedMs, mAnswerDelayMs / 2);
            }
            mEndUnconfirmed &= askedMs == null || askedMs <= mIdleSinceMs;
        } else if (message instanceof PeerMessage.ForwardsEnd) {
            mForwardsEnded = true;
            failAll(call -> !call.isAnswered(), ForwardListener.Failure.NOT_RUN);
        } else if (message instanceof PeerMessage.ForwardHead head) {
            PeerMessage.ForwardHead translated =
                    mSender.translation().fromReceiver(head, mLink.peerVersion());
            call(head.stream()).ifPresent(call -> call.receive(translated));
        } else if (message instanceof PeerMessage.ForwardData data) {
            call(data.stream()).ifPresent(call -> call.receive(data));
        } else if (message instanceof PeerMessage.ForwardEnd end) {
            call(end.stream()).ifPresent(call -> call.receive(end));
        } else if (message instanceof PeerMessage.ForwardUnknown unknown) {
            call(unknown.stream())
                    .ifPresent(
                            call ->
                                    call.fail(
                                            unknown.mayHaveRun()
                                                    ? ForwardListener.Failure.INTERRUPTED
                                                    : ForwardListener.Failure.NOT_RUN));
        }
    }

    /** Returns the open call of a stream; empty if it has ended here. */
    private Optional<ForwardCall> call(long stream) {
        return Optional.ofNullable(mCalls.get(stream));
    }

    /**
     * Ends what waits for members that are suspected or dead.
     *
     * @param states the states of the known members
     */
    void membersChanged(Map<InstanceId, MemberState> states) {
        MemberState state = mMember == null ? null : states.get(mMember.id());
        mMemberDead = state == MemberState.DEAD || state == null && mMemberDead;
        failAll(
                call -> !call.isSent() && isSuspectOrDead(states.get(call.member().id())),
                ForwardListener.Failure.NOT_RUN);
        if (state == MemberState.DEAD && !mReady) {
            failLogged("member DEAD", calls(ForwardCall::isSent));
        }
    }

    private static boolean isSuspectOrDead(MemberState state) {
        return state == MemberState.SUSPECT || state == MemberState.DEAD;
    }

    /** Watches the link, or opens another one. */
    void tick(long nowMs, long heldUpMs) {
        excludeHoldUp(nowMs, heldUpMs);
        if (mMemberDead && !mReady && nowMs - mUnlinkedMs > GREETING_TIMEOUT_MS) {
            failLogged("member DEAD", calls(ForwardCall::isSent));
        }
        if (mLink == null) {
            mStale &= nowMs - mUnlinkedMs < ForwardReceiver.ORPHAN_MS;
            if (nowMs - mUnlinkedMs > REPEATABLE_PATIENCE_MS) {
                failLogged("no connection", sentRepeatable());
            }
            reopenIfNeeded(nowMs);
        } else if (!mReady) {
            if (nowMs - mLinkedMs > GREETING_TIMEOUT_MS) {
                closeSilent(nowMs - mLinkedMs);
            }
        } else if (mLife == 0) {
            if (mCalls.isEmpty()) {
                mLastReceivedMs = nowMs;
            } else if (nowMs - mLastReceivedMs > OLDER_RELEASE_SILENCE_TIMEOUT_MS) {
                closeSilent(nowMs - mLastReceivedMs);
            }
        } else {
            watch(nowMs);
        }
    }

    private void excludeHoldUp(long nowMs, long heldUpMs) {
        if (heldUpMs > 0) {
            // What happened after the hold-up, before this tick, is not moved to the future.
            mLinkedMs = Math.min(nowMs, mLinkedMs + heldUpMs);
            mUnlinkedMs = Math.min(nowMs, mUnlinkedMs + heldUpMs);
            mLastReceivedMs = Math.min(nowMs, mLastReceivedMs + heldUpMs);
            List<Long> times = List.copyOf(mKeepAlivesMs);
            mKeepAlivesMs.clear();
            times.forEach(time -> mKeepAlivesMs.add(time + heldUpMs));
        }
    }

    private void watch(long nowMs) {
        long awaitedMs = mKeepAlivesMs.isEmpty() ? 0 : nowMs - mKeepAlivesMs.peek();
        boolean silent =
                awaitedMs > SILENCE_TIMEOUT_MS && nowMs - mLastReceivedMs > SILENCE_TIMEOUT_MS;
        if (silent) {
            closeSilent(awaitedMs);
        } else if (awaitedMs > oneWaySilenceTimeoutMs()) {
            mAnswerDelayMs = awaitedMs;
            closeSilent(awaitedMs);
        } else if (nowMs - mLastKeepAliveMs >= keepAliveIntervalMs(nowMs)) {
            mLastKeepAliveMs = nowMs;
            mKeepAlivesMs.add(nowMs);
            mLink.send(new PeerMessage.ForwardKeepAlive());
        }
    }

    private long oneWaySilenceTimeoutMs() {
        return Math.max(
                ONE_WAY_SILENCE_TIMEOUT_MS,
                Math.min(2 * mAnswerDelayMs, MAX_ONE_WAY_SILENCE_TIMEOUT_MS));
    }

    private long keepAliveIntervalMs(long nowMs) {
        boolean quiet =
                !mCalls.isEmpty() && nowMs - mLastReceivedMs >= QUIET_KEEP_ALIVE_INTERVAL_MS;
        return quiet ? QUIET_KEEP_ALIVE_INTERVAL_MS : KEEP_ALIVE_INTERVAL_MS;
    }

    private void closeSilent(long silentMs) {
        // What was sent last, such as a cancellation, may not have arrived.
        mStale = mLife != 0;
        mSender.log(
                "A silent connection of forwarded requests is replaced.",
                Map.of("member", mMember.id(), "requests", mCalls.size(), "silentMs", silentMs));
        mLink.close();
    }

    private void reopenIfNeeded(long nowMs) {
        boolean needed = mStale || !mCalls.isEmpty();
        if (mLink == null && needed && nowMs >= mNextOpenMs) {
            open();
        }
    }

    private void failLogged(String reason, List<ForwardCall> calls) {
        if (!calls.isEmpty()) {
            mSender.log(
                    "Forwarded requests are given up.",
                    Map.of(
                            "member",
                            calls.get(0).member().id(),
                            "reason",
                            reason,
                            "requests",
                            calls.size(),
                            "answered",
                            calls.stream().filter(ForwardCall::isAnswered).count(),
                            "silentMs",
                            mClockMs.getAsLong() - mLastReceivedMs));
            mStale |= mLife != 0 && !mReady;
            exclude(calls);
            calls.forEach(call -> call.fail(ForwardListener.Failure.INTERRUPTED));
        }
    }

    /** Fails requests that were not sent, as another instance than theirs is at the address. */
    private void failMisdirected(Member peer, List<ForwardCall> calls) {
        if (!calls.isEmpty()) {
            Member member = calls.get(0).member();
            mSender.log(
                    "Forwarded requests are given up.",
                    Map.of(
                            "member",
                            member.id(),
                            "region",
                            member.region(),
                            "reason",
                            "other member",
                            "requests",
                            calls.size(),
                            "answeredBy",
                            String.valueOf(peer.id()),
                            "answeredIn",
                            String.valueOf(peer.region())));
            calls.forEach(call -> call.fail(ForwardListener.Failure.NOT_RUN));
        }
    }

    private void failAll(Predicate<ForwardCall> condition, ForwardListener.Failure failure) {
        List<ForwardCall> calls = calls(condition);
        exclude(calls);
        calls.forEach(call -> call.fail(failure));
    }

    /**
     * Excludes calls that are about to fail from what the next link sends or announces, as the
     * listener of one of them may open it.
     */
    private void exclude(List<ForwardCall> calls) {
        calls.forEach(call -> mCalls.remove(call.stream()));
    }

    private List<ForwardCall> sentRepeatable() {
        return calls(call -> call.isSent() && call.isRepeatable());
    }

    private List<ForwardCall> calls(Predicate<ForwardCall> condition) {
        return mCalls.values().stream().filter(condition).toList();
    }

    /** Returns whether no request is open and none is to be cancelled on the next link. */
    boolean isIdle() {
        return mCalls.isEmpty() && !mOpening && !mStale;
    }

    long idleSinceMs() {
        return mIdleSinceMs;
    }

    ForwardLink link() {
        return mLink;
    }
}
