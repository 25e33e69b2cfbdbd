package org.filbertrudder.peer.forwarding;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.membership.PeerAddress;

/**
 * Forwards requests to other instances and receives the responses.
 *
 * <p>A request outlives the link over which it was sent: it goes on over the next link to the same
 * process. It is sent to no other instance than the one it was started for, also if another one has
 * got its address. Call all methods on one thread.
 */
public final class ForwardSender {

    /** The number of idle links that are watched; links beyond it are watched again when used. */
    private static final int MAX_IDLE_SESSIONS = 16;

    private static final long IDLE_TIMEOUT_MS = 30_000;

    /** A longer time between two ticks is a hold-up, in which nothing was received. */
    private static final long MAX_TICK_INTERVAL_MS = 200;

    private final ForwardLinks mLinks;
    private final LongSupplier mClockMs;
    private final Consumer<ForwardEvent> mLog;
    private final ForwardTranslation mTranslation;
    private final Map<PeerAddress, SenderSession> mSessions = new HashMap<>();
    private final Map<ForwardLink, SenderSession> mSessionsByLink = new HashMap<>();
    private final Set<ForwardLink> mWatchedLinks = new HashSet<>();
    private long mNextStream = 1;
    private long mNextGeneration = 1;
    private long mLastTickMs;

    /** Creates a sender whose messages are the same in all releases. */
    public ForwardSender(ForwardLinks links, LongSupplier clockMs, Consumer<ForwardEvent> log) {
        this(links, clockMs, log, new ForwardTranslation() {});
    }

    /**
     * Creates a sender.
     *
     * @param clockMs a steady clock, in milliseconds
     * @param log receives decisions about forwarded requests
     * @param translation adapts messages to the release of the receiver
     */
    public ForwardSender(
            ForwardLinks links,
            LongSupplier clockMs,
            Consumer<ForwardEvent> log,
            ForwardTranslation translation) {
        mLinks = links;
        mClockMs = clockMs;
        mLog = log;
        mTranslation = translation;
        mLastTickMs = clockMs.getAsLong();
    }

    /**
     * Forwards a request to a member.
     *
     * @param request returns the message for the number of a stream
     * @param repeatable whether the request may run once more at another instance
     */
    public ForwardCall start(
            Member member,
            LongFunction<PeerMessage.ForwardStart> request,
            BooleanSupplier repeatable,
            ForwardListener listener) {
        SenderSession session =
                mSessions.computeIfAbsent(
                        PeerAddress.ofForwards(member),
                        address -> new SenderSession(this, address, mClockMs));
        ForwardCall call =
                new ForwardCall(
                        session, member, request.apply(mNextStream++), repeatable, listener);
        session.add(call);
        return call;
    }

    /** Handles a message that belongs to a response; returns false for other messages. */
    public boolean handle(ForwardLink from, PeerMessage message) {
        SenderSession session = mSessionsByLink.get(from);
        if (message instanceof PeerMessage.Hello && session != null) {
            session.greeted();
        }
        boolean ofReceiver =
                message instanceof PeerMessage.ForwardHead
                        || message instanceof PeerMessage.ForwardData
                        || message instanceof PeerMessage.ForwardEnd
                        || message instanceof PeerMessage.ForwardUnknown
                        || message instanceof PeerMessage.ForwardsEnd
                        || message instanceof PeerMessage.ForwardKeepAlive && session != null;
        if (ofReceiver && session != null) {
            session.receive(message);
        }
        return ofReceiver;
    }

    /** Watches the links and replaces those that have fallen silent or closed. */
    public void tick(long nowMs) {
        long heldUpMs = heldUpMs(mLastTickMs, nowMs);
        mLastTickMs = nowMs;
        List.copyOf(mSessions.values()).forEach(session -> session.tick(nowMs, heldUpMs));
        forgetIdle(nowMs);
    }

    /** Returns for how long the thread was held up between two ticks, in milliseconds. */
    static long heldUpMs(long lastTickMs, long nowMs) {
        return Math.max(0, nowMs - lastTickMs - MAX_TICK_INTERVAL_MS);
    }

    private void forgetIdle(long nowMs) {
        List<Map.Entry<PeerAddress, SenderSession>> idle =
                mSessions.entrySet().stream()
                        .filter(entry -> entry.getValue().isIdle())
                        .sorted(Comparator.comparing(entry -> -entry.getValue().idleSinceMs()))
                        .toList();
        for (int i = 0; i < idle.size(); i++) {
            SenderSession session = idle.get(i).getValue();
            if (i >= MAX_IDLE_SESSIONS || nowMs - session.idleSinceMs() > IDLE_TIMEOUT_MS) {
                mSessions.remove(idle.get(i).getKey());
                mSessionsByLink.remove(session.link());
            }
        }
    }

    /**
     * Fails the requests that wait for a link to a member that is suspected or dead. A sent request
     * is ended by the death of the member only while there is no link to it.
     */
    public void membersChanged(List<Member> members) {
        Map<InstanceId, MemberState> states = new HashMap<>();
        members.forEach(member -> states.put(member.id(), member.state()));
        List.copyOf(mSessions.values()).forEach(session -> session.membersChanged(states));
    }

    ForwardLinks links() {
        return mLinks;
    }

    ForwardTranslation translation() {
        return mTranslation;
    }

    long nextGeneration() {
        return mNextGeneration++;
    }

    void linked(ForwardLink link, SenderSession session) {
        mSessionsByLink.put(link, session);
        if (mWatchedLinks.add(link)) {
            link.whenClosed(() -> closed(link));
        }
    }

    private void closed(ForwardLink link) {
        mWatchedLinks.remove(link);
        SenderSession session = mSessionsByLink.remove(link);
        if (session != null) {
            session.closed();
        }
    }

    void log(String message, Map<String, Object> fields) {
        mLog.accept(new ForwardEvent(message, fields));
    }
}
