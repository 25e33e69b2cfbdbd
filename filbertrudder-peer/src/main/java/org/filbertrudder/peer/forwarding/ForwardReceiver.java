package org.filbertrudder.peer.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.ForwardRecords;
import org.filbertrudder.model.message.PeerMessage;

/**
 * Receives requests that other instances forward and sends the responses back.
 *
 * <p>Call all methods on one thread.
 */
public final class ForwardReceiver {

    /**
     * How long requests run on without a link to their sender, in milliseconds: longer than a
     * sender needs to notice a silent link and to open some others.
     */
    static final long ORPHAN_MS = 5_000;

    /** How long a stop waits for a sender without a link, in milliseconds. */
    private static final long REDELIVERY_MS = 2_000;

    /** How long a response that has ended waits for its sender, in milliseconds. */
    private static final long DELIVERY_TIMEOUT_MS = 60_000;

    /** How long it is known which streams a sender has started, in milliseconds. */
    private static final long SESSION_TIMEOUT_MS = 600_000;

    /** The number of processes that are known to have had a session. */
    private static final int MAX_FORGOTTEN_SENDERS = 4_096;

    /** One of so many parts of the heap may hold responses that are not acknowledged. */
    private static final int RETAINED_HEAP_PARTS = 16;

    /** The interval between keep-alives to senders of older releases, in milliseconds. */
    private static final long KEEP_ALIVE_INTERVAL_MS = 500;

    private final RequestHandler mHandler;
    private final HeldBytes mRetained;
    private final LongSupplier mClockMs;
    private final Consumer<ForwardEvent> mLog;
    private final Map<SenderProcess, ReceiverSession> mSessions = new HashMap<>();
    private final ForgottenSenders<SenderProcess> mForgotten =
            new ForgottenSenders<>(MAX_FORGOTTEN_SENDERS);
    private final Map<ForwardLink, ReceiverSession> mSessionsByLink = new HashMap<>();
    private final Set<ForwardLink> mIgnored = new HashSet<>();
    private final Set<ForwardLink> mEndedLinks = new HashSet<>();
    private CompletableFuture<Void> mEnded;
    private long mNextKeepAliveMs;
    private long mLastTickMs;

    /** Creates a receiver that retains responses in a part of the heap of this process. */
    public ForwardReceiver(
            RequestHandler handler, LongSupplier clockMs, Consumer<ForwardEvent> log) {
        this(handler, HeldBytes.ofHeapPart(RETAINED_HEAP_PARTS), clockMs, log);
    }

    /**
     * Creates a receiver.
     *
     * @param retained bounds the parts of responses that are not acknowledged; a response that
     *     exceeds it ends with its link
     * @param clockMs a steady clock, in milliseconds
     * @param log receives decisions about forwarded requests
     */
    public ForwardReceiver(
            RequestHandler handler,
            HeldBytes retained,
            LongSupplier clockMs,
            Consumer<ForwardEvent> log) {
        mHandler = handler;
        mRetained = retained;
        mClockMs = clockMs;
        mLog = log;
        mLastTickMs = clockMs.getAsLong();
    }

    /** Handles a forwarded request. */
    @FunctionalInterface
    public interface RequestHandler {

        /** Handles a request that has come for the first time. */
        void handle(PeerMessage.ForwardStart start, ForwardedResponse response);
    }

    /** Handles a message of another instance. */
    public void handle(ForwardLink from, PeerMessage message) {
        if (mIgnored.contains(from)) {
            return;
        }
        ReceiverSession session = mSessionsByLink.get(from);
        if (session != null) {
            session.received(mClockMs.getAsLong());
        }
        if (message instanceof PeerMessage.ForwardResume resume) {
            resume(from, resume);
        } else if (message instanceof PeerMessage.ForwardStart start) {
            ForwardedResponse response = start(from, start.stream());
            if (response != null) {
                mHandler.handle(start, response);
            }
        } else if (session != null) {
            handle(session, message);
        }
    }

    private static void handle(ReceiverSession session, PeerMessage message) {
        if (message instanceof PeerMessage.ForwardKeepAlive) {
            session.send(message);
        } else if (message instanceof PeerMessage.ForwardCancel cancel) {
            session.cancel(cancel.stream());
        } else if (message instanceof PeerMessage.ForwardCredit credit) {
            session.credit(credit.stream(), credit.bytes());
        }
    }

    /**
     * Returns the response of a request whose message has invalid fields; null if the stream was
     * already started, or its sender was told that it would not run.
     */
    public ForwardedResponse start(ForwardLink from, long stream) {
        if (mEndedLinks.contains(from)) {
            log("A forwarded request that crossed the end is not run.", Map.of("stream", stream));
            return null;
        }
        ReceiverSession session = mSessionsByLink.get(from);
        if (session == null && from.peerLife() == 0) {
            session = new ReceiverSession(this, false);
            link(from, session, 0);
        } else if (session == null) {
            log("A forwarded request without a session is refused.", Map.of("stream", stream));
            from.send(new PeerMessage.ForwardUnknown(stream, false));
            return null;
        }
        return session.start(stream);
    }

    private void resume(ForwardLink from, PeerMessage.ForwardResume resume) {
        if (from.peerLife() == 0 || !areValid(resume.streams())) {
            log("A sender that states no positions is disconnected.", Map.of());
            from.close();
            return;
        }
        SenderProcess sender = new SenderProcess(from.peerMember().id(), from.peerLife());
        ReceiverSession known = mSessions.get(sender);
        ReceiverSession present = mSessionsByLink.get(from);
        if (present != null && (present != known || !resume.streams().isEmpty())) {
            log("A sender that resumes twice is disconnected.", Map.of("member", sender.id()));
            mIgnored.add(from);
            from.close();
            return;
        }
        if (known != null && resume.generation() <= known.generation()) {
            log("An earlier connection of a sender is closed.", Map.of("member", sender.id()));
            from.close();
            return;
        }
        long incarnation = from.peerMember().incarnation();
        if (known == null && !mForgotten.mayContain(sender)) {
            endEarlierProcesses(sender, incarnation);
        }
        ReceiverSession session =
                mSessions.computeIfAbsent(sender, each -> new ReceiverSession(this, true));
        if (session.link() != from) {
            replaceLink(session);
        }
        link(from, session, resume.generation());
        session.noteIncarnation(incarnation);
        boolean forgotten = known == null && (resume.known() || mForgotten.mayContain(sender));
        session.resume(resume.streams(), forgotten);
    }

    private static boolean areValid(List<ForwardRecords.Open> streams) {
        Set<Long> numbers = new HashSet<>();
        return streams.stream()
                .allMatch(forward -> forward != null && numbers.add(forward.stream()));
    }

    /** Closes the link of a session, from which nothing more is accepted. */
    private void replaceLink(ReceiverSession session) {
        ForwardLink link = session.link();
        if (link != null) {
            mIgnored.add(link);
            mSessionsByLink.remove(link);
            link.close();
        }
    }

    private void link(ForwardLink link, ReceiverSession session, long generation) {
        session.linkTo(link, generation, mClockMs.getAsLong());
        if (mSessionsByLink.put(link, session) == null) {
            link.whenClosed(() -> closed(link));
        }
    }

    private void closed(ForwardLink link) {
        mIgnored.remove(link);
        mEndedLinks.remove(link);
        ReceiverSession session = mSessionsByLink.remove(link);
        if (session != null) {
            session.unlinked(mClockMs.getAsLong());
        }
        completeEnd();
    }

    /**
     * Cancels the requests of earlier processes of an instance, for which nobody waits.
     *
     * <p>What comes last may still be of an earlier process. A process with a lower incarnation has
     * a session beside the others, which ends with its link.
     */
    private void endEarlierProcesses(SenderProcess sender, long incarnation) {
        List.copyOf(mSessions.entrySet()).stream()
                .filter(entry -> entry.getKey().id().equals(sender.id()))
                .filter(entry -> entry.getValue().incarnation() <= incarnation)
                .forEach(
                        entry -> {
                            forget(entry.getKey());
                            replaceLink(entry.getValue());
                            entry.getValue().cancelAll();
                        });
    }

    private void forget(SenderProcess sender) {
        mSessions.remove(sender);
        mForgotten.add(sender);
    }

    /** Ends what no sender waits for any more, and shows older releases that links are alive. */
    public void tick(long nowMs) {
        long heldUpMs = ForwardSender.heldUpMs(mLastTickMs, nowMs);
        mLastTickMs = nowMs;
        for (Map.Entry<SenderProcess, ReceiverSession> entry : List.copyOf(mSessions.entrySet())) {
            ReceiverSession session = entry.getValue();
            session.excludeHoldUp(nowMs, heldUpMs);
            if (session.isSilent(nowMs, ORPHAN_MS)) {
                log("A silent sender is disconnected.", Map.of("member", entry.getKey().id()));
                session.link().close();
            }
            long unlinkedForMs = session.isLinked() ? 0 : nowMs - session.unlinkedMs();
            if (unlinkedForMs > ORPHAN_MS) {
                session.cancelRunning();
            }
            if (unlinkedForMs > DELIVERY_TIMEOUT_MS) {
                session.cancelAll();
            }
            if (unlinkedForMs > SESSION_TIMEOUT_MS) {
                forget(entry.getKey());
            }
        }
        if (nowMs >= mNextKeepAliveMs) {
            mNextKeepAliveMs = nowMs + KEEP_ALIVE_INTERVAL_MS;
            mSessionsByLink.values().stream()
                    .filter(session -> !session.isResumable() && !session.isEmpty())
                    .forEach(session -> session.send(new PeerMessage.ForwardKeepAlive()));
        }
        completeEnd();
    }

    /** Returns whether a response has ended that its sender may still ask for. */
    public boolean hasUndelivered() {
        long unlinkedAfterMs = mClockMs.getAsLong() - REDELIVERY_MS;
        return mSessions.values().stream()
                .filter(session -> session.isLinked() || session.unlinkedMs() > unlinkedAfterMs)
                .anyMatch(ReceiverSession::hasUndelivered);
    }

    /**
     * Ends the output of the present links, once no request runs.
     *
     * @return completes when the other instances have read the responses and closed the links
     */
    public CompletableFuture<Void> endLinks() {
        if (mEnded == null) {
            mEnded = new CompletableFuture<>();
            mEndedLinks.addAll(mSessionsByLink.keySet());
            List.copyOf(mEndedLinks).forEach(ForwardReceiver::endLink);
            completeEnd();
        }
        return mEnded;
    }

    /** Requests that arrive from now on are not run, as their sender is told in advance. */
    private static void endLink(ForwardLink link) {
        link.send(new PeerMessage.ForwardsEnd());
        link.endOutput();
    }

    private void completeEnd() {
        if (mEnded != null && mEndedLinks.isEmpty() && !hasUndelivered()) {
            mEnded.complete(null);
        }
    }

    HeldBytes retained() {
        return mRetained;
    }

    void log(String message, Map<String, Object> fields) {
        mLog.accept(new ForwardEvent(message, fields));
    }

    private record SenderProcess(InstanceId id, long life) {}
}
