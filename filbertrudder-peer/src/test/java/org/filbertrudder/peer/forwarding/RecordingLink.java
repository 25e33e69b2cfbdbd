package org.filbertrudder.peer.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ProtocolVersions;

/** A link that records what is sent on it. */
final class RecordingLink implements ForwardLink {

    final List<PeerMessage> mSent = new ArrayList<>();
    final List<Runnable> mCloseActions = new ArrayList<>();
    Member mPeerMember;
    long mPeerLife;
    boolean mOutputEnded;
    boolean mClosed;

    RecordingLink(String peer, long peerLife) {
        mPeerMember = SimulatedForwards.member(peer);
        mPeerLife = peerLife;
    }

    /** Returns the messages of a type that were sent. */
    <T extends PeerMessage> List<T> sent(Class<T> type) {
        return mSent.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Removes the keep-alives that were sent; returns whether there were any. */
    boolean takeKeepAlive() {
        return mSent.removeIf(PeerMessage.ForwardKeepAlive.class::isInstance);
    }

    @Override
    public void send(PeerMessage message) {
        if (!mClosed && !mOutputEnded) {
            mSent.add(message);
        }
    }

    @Override
    public void close() {
        if (!mClosed) {
            mClosed = true;
            List.copyOf(mCloseActions).forEach(Runnable::run);
        }
    }

    @Override
    public void whenClosed(Runnable action) {
        if (mClosed) {
            action.run();
        } else {
            mCloseActions.add(action);
        }
    }

    @Override
    public CompletableFuture<Void> endOutput() {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        whenClosed(() -> closed.complete(null));
        mOutputEnded = true;
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
