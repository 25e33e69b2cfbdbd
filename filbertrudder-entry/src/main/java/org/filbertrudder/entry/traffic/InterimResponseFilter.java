package org.filbertrudder.entry.traffic;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Drops interim responses (1xx), which Vert.x takes for final ones except for those with status 100
 * and 103, and closes a connection on which they do not end.
 */
final class InterimResponseFilter extends ChannelInboundHandlerAdapter {

    /** The interim responses before a final one that are allowed. */
    static final int MAX_INTERIM_RESPONSES = 8;

    private boolean mDropping;
    private int mDropped;

    private InterimResponseFilter() {}

    /** Filters the responses on all connections that the client opens from now on. */
    static void installIn(HttpClient client) {
        client.connectionHandler(InterimResponseFilter::installIn);
    }

    private static void installIn(HttpConnection connection) {
        ((ConnectionBase) connection)
                .channelHandlerContext()
                .pipeline()
                .addBefore("handler", "interimResponses", new InterimResponseFilter());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpResponse response) {
            mDropping = isDropped(response);
            mDropped = mDropping ? mDropped + 1 : 0;
        }
        if (mDropped > MAX_INTERIM_RESPONSES) {
            ReferenceCountUtil.release(message);
            context.close();
            return;
        }
        if (!mDropping) {
            context.fireChannelRead(message);
            return;
        }
        mDropping = !(message instanceof LastHttpContent);
        ReferenceCountUtil.release(message);
    }

    private static boolean isDropped(HttpResponse response) {
        return response.decoderResult().isSuccess()
                && response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                && response.status().code() != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
    }
}
