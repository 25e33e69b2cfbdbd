package org.filbertrudder.scenarios.platform;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.filbertrudder.policy.membership.PeerAddress;

/** Passes connections on to an instance, and silences or resets those that are open. */
public final class LinkProxy implements AutoCloseable {

    private final Set<Link> mLinks = ConcurrentHashMap.newKeySet();
    private final NetClient mClient;
    private final NetServer mServer;
    private final PeerAddress mAddress;
    private final PeerAddress mTarget;
    private volatile boolean mCut;

    /** Listens at an address and passes connections on to a target. */
    public LinkProxy(Vertx vertx, PeerAddress address, PeerAddress target) {
        mAddress = address;
        mTarget = target;
        mClient = vertx.createNetClient();
        mServer = vertx.createNetServer().connectHandler(this::accept);
        mServer.listen(address.port(), address.host())
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }

    /** Returns the address at which the proxy listens. */
    public PeerAddress address() {
        return mAddress;
    }

    /** Drops from now on what the open connections carry in the given directions. */
    public void silence(boolean toTarget, boolean toCaller) {
        for (Link link : mLinks) {
            link.mSilentToTarget |= toTarget;
            link.mSilentToCaller |= toCaller;
        }
    }

    /** Drops from now on what open and new connections carry in both directions. */
    public void cut() {
        mCut = true;
        silence(true, true);
    }

    /** Ends a cut; the connections that were silent are closed. */
    public void heal() {
        mCut = false;
        reset();
    }

    /** Closes the open connections at both ends. */
    public void reset() {
        mLinks.forEach(Link::close);
    }

    private void accept(NetSocket caller) {
        caller.pause();
        mClient.connect(mTarget.port(), mTarget.host())
                .onFailure(failure -> caller.close())
                .onSuccess(target -> new Link(caller, target).open());
    }

    @Override
    public void close() {
        reset();
        mServer.close();
    }

    /** A connection and the one that it is passed on to. */
    private final class Link {

        private final NetSocket mCaller;
        private final NetSocket mTargetSocket;
        private volatile boolean mSilentToTarget;
        private volatile boolean mSilentToCaller;

        Link(NetSocket caller, NetSocket target) {
            mCaller = caller;
            mTargetSocket = target;
        }

        void open() {
            mLinks.add(this);
            // A cut that starts meanwhile finds the link in the set or is seen here.
            if (mCut) {
                mSilentToTarget = true;
                mSilentToCaller = true;
            }
            mTargetSocket.handler(
                    bytes -> {
                        if (!mSilentToCaller) {
                            mCaller.write(bytes);
                        }
                    });
            mCaller.handler(
                    bytes -> {
                        if (!mSilentToTarget) {
                            mTargetSocket.write(bytes);
                        }
                    });
            mTargetSocket.closeHandler(ignored -> ended(mSilentToCaller));
            mCaller.closeHandler(ignored -> ended(mSilentToTarget));
            mCaller.resume();
        }

        /** A silent connection does not carry its close either. */
        private void ended(boolean silent) {
            if (!silent) {
                close();
            }
        }

        private void close() {
            mLinks.remove(this);
            mCaller.close();
            mTargetSocket.close();
        }
    }
}
