package org.filbertrudder.entry.traffic;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.concurrent.TimeUnit;

/**
 * Closes the listening socket of a server without cutting requests that wait to be accepted.
 *
 * <p>When a server of the library is closed, the connections that it accepts until the socket has
 * closed end without a response. Closed before the server, the socket leaves them open.
 */
public final class ListeningSocket {

    /** The time between two checks whether connections are still being accepted, in ms. */
    private static final long CHECK_INTERVAL_MS = 1;

    /** The number of checks after which the socket closes even if connections keep arriving. */
    private static final int MAX_CHECKS = 50;

    private final AcceptCounter mCounter = new AcceptCounter();
    private Channel mChannel;

    /** Finds the socket by a connection that it has accepted. */
    public void connectionOpened(HttpConnection connection) {
        if (mChannel == null) {
            mChannel = ((ConnectionBase) connection).channel().parent();
            mChannel.pipeline().addFirst(mCounter);
        }
    }

    /**
     * Closes the socket once it has accepted the connections that wait. Completes on the context;
     * at once if it has never accepted a connection.
     */
    public Future<Void> close(Context context) {
        Promise<Void> closed = Promise.promise();
        if (mChannel == null) {
            closed.complete();
        } else {
            mChannel.eventLoop().execute(() -> scheduleCheck(context, closed, 0));
        }
        return closed.future();
    }

    private void scheduleCheck(Context context, Promise<Void> closed, int checks) {
        long accepted = mCounter.mAccepted;
        // Tasks without a delay could run before the event loop accepts the next connections.
        mChannel.eventLoop()
                .schedule(
                        () -> {
                            if (mCounter.mAccepted != accepted && checks < MAX_CHECKS) {
                                scheduleCheck(context, closed, checks + 1);
                            } else {
                                mChannel.close()
                                        .addListener(
                                                ignored ->
                                                        context.runOnContext(
                                                                done -> closed.complete()));
                            }
                        },
                        CHECK_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
    }

    /** Counts the accepted connections; used on the event loop of the socket only. */
    private static final class AcceptCounter extends ChannelInboundHandlerAdapter {

        private long mAccepted;

        @Override
        public void channelRead(ChannelHandlerContext context, Object accepted) {
            mAccepted++;
            context.fireChannelRead(accepted);
        }
    }
}
