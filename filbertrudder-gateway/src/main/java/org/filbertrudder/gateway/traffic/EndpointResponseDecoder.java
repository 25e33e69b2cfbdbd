package org.filbertrudder.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;

/**
 * Decodes the responses of an endpoint and limits the bytes received between two decoded parts.
 *
 * <p>{@link HttpResponseDecoder} skips an unlimited number of control characters before a head, and
 * does not report whether bytes follow a complete response.
 */
final class EndpointResponseDecoder extends HttpResponseDecoder {

    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    /**
     * The maximum bytes received without a decoded part: a head of maximum length plus one socket
     * read.
     */
    private static final int MAX_UNDECODED_BYTES = MAX_LINE_BYTES + 2 * MAX_HEADER_BYTES;

    private final Runnable mOnExcess;
    private boolean mHeadOnly;
    private long mUndecodedBytes;

    /**
     * Creates a decoder; the action runs when the bytes received without a decoded part exceed the
     * limit.
     */
    EndpointResponseDecoder(Runnable onExcess) {
        super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES, false);
        mOnExcess = onExcess;
    }

    /**
     * Sets whether the next response has no body regardless of its headers, as for a HEAD request.
     */
    void expectHeadOnly(boolean headOnly) {
        mHeadOnly = headOnly;
    }

    /** Returns whether received bytes remain that belong to no decoded part. */
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
