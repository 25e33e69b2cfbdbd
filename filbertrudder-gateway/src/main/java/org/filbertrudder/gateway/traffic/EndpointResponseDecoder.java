package org.filbertrudder.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;

/**
 * Decodes the answers of an endpoint and bounds what it takes in between two parts of an answer.
 *
 * <p>The decoder of the library skips control characters before a head without end, and does not
 * tell whether bytes follow a complete answer.
 */
final class EndpointResponseDecoder extends HttpResponseDecoder {

    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    /** A head of the greatest length and one reading of the socket; more is no answer, in bytes. */
    private static final int MAX_UNDECODED_BYTES = MAX_LINE_BYTES + 2 * MAX_HEADER_BYTES;

    private final Runnable mOnExcess;
    private boolean mHeadOnly;
    private long mUndecodedBytes;

    /** Creates a decoder; the action runs when endless bytes bring no part of an answer. */
    EndpointResponseDecoder(Runnable onExcess) {
        super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES, false);
        mOnExcess = onExcess;
    }

    /** Sets whether the next answer has no body whatever its head says. */
    void expectHeadOnly(boolean headOnly) {
        mHeadOnly = headOnly;
    }

    /** Returns whether bytes have come that belong to no part decoded so far. */
    boolean hasExtraBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof ByteBuf bytes) {
            mUndecodedBytes += bytes.readableBytes();
        }
        super.channelRead(context, message);
        if (mUndecodedBytes > MAX_UNDECODED_BYTES) {
            mOnExcess.run();
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> parts)
            throws Exception {
        super.decode(context, bytes, parts);
        if (!parts.isEmpty()) {
            mUndecodedBytes = 0;
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mHeadOnly || super.isContentAlwaysEmpty(message);
    }
}
