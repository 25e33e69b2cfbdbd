package org.filbertrudder.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.filbertrudder.entry.traffic.HeadRefusals;

/** Observes what is received on a connection before it is decoded. */
final class ReceivedBytes extends ChannelInboundHandlerAdapter {

    private final Runnable mOnReceived;
    private ChannelHandlerContext mContext;
    private long mBytes;

    /** Creates the handler, which runs the action before each part is decoded. */
    ReceivedBytes(Runnable onReceived) {
        mOnReceived = onReceived;
    }

    /** Returns the number of bytes received. */
    long count() {
        return mBytes;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object part) {
        if (part instanceof ByteBuf bytes) {
            mBytes += bytes.readableBytes();
        }
        mOnReceived.run();
        context.fireChannelRead(part);
    }

    /** Sends a refusal for a request whose head is incomplete, which the library cannot answer. */
    void refuseHead(GatewayRefusal refusal) {
        String response = HeadRefusals.format(refusal.status(), Map.of(), refusal.body());
        mContext.writeAndFlush(Unpooled.copiedBuffer(response, StandardCharsets.US_ASCII));
    }
}
