package org.filbertrudder.gateway.traffic;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.impl.ContextInternal;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.control.Clocks;

/**
 * Represents one HTTP/1.1 connection to an endpoint, which carries one request at a time.
 *
 * <p>The connection uses Netty's HTTP codec but no HTTP client, as the client of the HTTP library
 * cannot skip a response that belongs to an earlier request, distinguish a reset from a regular
 * end, or apply the endpoint's keep-alive time by the steady clock.
 */
final class EndpointConnection {

    private static final ComponentLogger LOG = ComponentLogger.of("endpoints");

    private static final int MIN_STATUS = 100;
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_STATUS = 599;
    private static final int STATUS_SWITCHING_PROTOCOLS = 101;

    /**
     * The number of interim responses allowed before the final one; after more the connection is
     * closed.
     */
    private static final int MAX_INTERIM_RESPONSES = 8;

    /**
     * The number of responses to earlier requests that are skipped; after more the connection is
     * closed.
     */
    private static final int MAX_SKIPPED_RESPONSES = 2;

    /** The number of bytes of skipped responses allowed; after more the connection is closed. */
    private static final long MAX_SKIPPED_BYTES = 256 * 1024;

    /** The margin subtracted from the keep-alive time that an endpoint states, in milliseconds. */
    private static final long KEEP_ALIVE_MARGIN_MS = 500;

    /**
     * How long an idle connection is kept if the endpoint states no keep-alive time of at least one
     * second, in milliseconds.
     */
    private static final long DEFAULT_KEEP_ALIVE_MS = 300;

    /** The number of refused requests after which a connection is not used again. */
    private static final int MAX_REFUSED_REQUESTS = 16;

    private final Channel mChannel;
    private final ContextInternal mContext;
    private final EndpointResponseDecoder mDecoder;
    private final HttpProtocol mProtocol;
    private final Consumer<EndpointConnection> mOnIdleClosed;
    private AttemptListener mListener;
    private String mRequestId;
    private boolean mInResponse;
    private boolean mUsedBefore;
    private final Set<String> mRefusedRequests = new HashSet<>();
    private int mInterimResponses;
    private int mSkippedResponses;
    private long mSkippedBytes;
    private boolean mSkippingResponse;
    private boolean mReusable = true;
    private boolean mCloseDelimited;
    private ChannelFuture mWrite;
    private boolean mEarlyResponse;
    private boolean mClosed;
    private long mIdleSinceMs;
    private long mKeepAliveMs = DEFAULT_KEEP_ALIVE_MS;
    private Runnable mOnRelease = () -> {};

    EndpointConnection(
            Channel channel,
            ContextInternal context,
            HttpProtocol protocol,
            Consumer<EndpointConnection> onIdleClosed) {
        mChannel = channel;
        mContext = context;
        mProtocol = protocol;
        mOnIdleClosed = onIdleClosed;
        mIdleSinceMs = Clocks.steadyMs();
        mDecoder = new EndpointResponseDecoder(this::close);
        channel.pipeline().addLast(new HttpRequestEncoder(), mDecoder, new InboundHandler());
    }

    /** Sends a request; the action runs when the request no longer uses the connection. */
    void send(
            String requestId,
            String method,
            String uri,
            HttpHeaders headers,
            Buffer body,
            AttemptListener listener,
            Runnable onRelease) {
        mListener = listener;
        mRequestId = requestId;
        mOnRelease = onRelease;
        mInResponse = false;
        mInterimResponses = 0;
        mDecoder.expectHeadOnly(HttpMethod.HEAD.name().equals(method));
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(method),
                        uri,
                        Unpooled.wrappedBuffer(body.getBytes()),
                        headers,
                        EmptyHttpHeaders.INSTANCE);
        if (body.length() > 0 || !"GET".equals(method)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length());
        }
        // A failed write closes the connection like the endpoint's regular end does.
        mWrite = mChannel.writeAndFlush(request);
        mWrite.addListener(
                written -> {
                    if (!written.isSuccess()) {
                        mContext.dispatch(this::connectionLost);
                    }
                });
    }

    /** Returns an empty set of headers for a request. */
    static HttpHeaders newHeaders() {
        return new DefaultHttpHeaders(false);
    }

    private void receive(Object message) {
        try {
            if (message instanceof HttpObject part) {
                receive(part);
            }
        } catch (RuntimeException | Error e) {
            LOG.warn(
                    "Reading a response has failed.",
                    LogField.of("id", mRequestId),
                    LogField.of("error", e));
            close();
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void receive(HttpObject part) {
        if (mClosed) {
            return;
        }
        if (part.decoderResult().isFailure() || mListener == null) {
            // The bytes are no valid response, or no request is running.
            close();
            return;
        }
        if (part instanceof HttpResponse response) {
            receiveHead(response);
        }
        if (part instanceof HttpContent content && mInResponse) {
            receiveContent(content);
        }
    }

    private void receiveHead(HttpResponse response) {
        int status = response.status().code();
        if (status < MIN_STATUS || status > MAX_STATUS) {
            LOG.warn(
                    "A response with an invalid status is dropped.",
                    LogField.of("id", mRequestId),
                    LogField.of("status", status));
            close();
            return;
        }
        if (status < MIN_FINAL_STATUS) {
            mInterimResponses++;
            if (status == STATUS_SWITCHING_PROTOCOLS || mInterimResponses > MAX_INTERIM_RESPONSES) {
                close();
            }
            return;
        }
        Set<String> malformed = MalformedHeaders.remove(response.headers());
        if (!malformed.isEmpty()) {
            LOG.warn(
                    "Malformed header fields of a response are dropped.",
                    LogField.of("id", mRequestId),
                    LogField.of("names", malformed));
        }
        ResponseHead head = mProtocol.readResponse(response);
        boolean otherRequest =
                head.requestId().isPresent() && !head.requestId().get().equals(mRequestId);
        boolean unidentified = head.requestId().isEmpty() && (head.isSuccess() || mUsedBefore);
        mInResponse = true;
        mEarlyResponse = !mWrite.isSuccess();
        mSkippingResponse = otherRequest || unidentified;
        mCloseDelimited =
                !HttpUtil.isTransferEncodingChunked(response)
                        && !HttpUtil.isContentLengthSet(response);
        if (mSkippingResponse) {
            // The response belongs to an earlier request; that of the current request may still
            // follow.
            mReusable = false;
            mSkippedResponses++;
            if (mSkippedResponses > MAX_SKIPPED_RESPONSES) {
                close();
            }
            return;
        }
        if (!head.isSuccess()) {
            mRefusedRequests.add(mRequestId);
        }
        mReusable &=
                HttpUtil.isKeepAlive(response)
                        && !mCloseDelimited
                        && mRefusedRequests.size() < MAX_REFUSED_REQUESTS;
        mKeepAliveMs =
                head.keepAliveMs().isPresent()
                        ? Math.max(0, head.keepAliveMs().getAsLong() - KEEP_ALIVE_MARGIN_MS)
                        : DEFAULT_KEEP_ALIVE_MS;
        mListener.head(head);
    }

    private void receiveContent(HttpContent content) {
        boolean lastPart = content instanceof LastHttpContent;
        if (mSkippingResponse) {
            mSkippedBytes += content.content().readableBytes();
            if (mSkippedBytes > MAX_SKIPPED_BYTES) {
                close();
                return;
            }
        } else if (content.content().isReadable()) {
            mListener.data(Buffer.buffer(ByteBufUtil.getBytes(content.content())));
        }
        if (!lastPart) {
            return;
        }
        mInResponse = false;
        if (mSkippingResponse) {
            mSkippingResponse = false;
            return;
        }
        if (mCloseDelimited && mEarlyResponse) {
            // The endpoint may have closed the connection because of the rest of the request, so
            // that the response may lack its end.
            connectionLost();
        } else if (mListener != null) {
            completeResponse();
        }
    }

    private void completeResponse() {
        AttemptListener listener = mListener;
        mListener = null;
        mUsedBefore = true;
        // Bytes after a complete response belong to no request.
        mReusable &= !mDecoder.hasExtraBytes();
        mIdleSinceMs = Clocks.steadyMs();
        Runnable onRelease = mOnRelease;
        mOnRelease = () -> {};
        if (!mReusable) {
            close();
        }
        if (mCloseDelimited) {
            listener.endByClose();
        } else {
            listener.end();
        }
        onRelease.run();
    }

    private void connectionLost() {
        mClosed = true;
        AttemptListener listener = mListener;
        mListener = null;
        if (listener != null) {
            mOnRelease.run();
            listener.failed(AttemptListener.Failure.INTERRUPTED);
        } else {
            mOnIdleClosed.accept(this);
        }
    }

    /** Cancels the running request by closing the connection. */
    void cancel() {
        mListener = null;
        Runnable onRelease = mOnRelease;
        mOnRelease = () -> {};
        close();
        onRelease.run();
    }

    void close() {
        mClosed = true;
        mReusable = false;
        mChannel.close();
    }

    /**
     * Returns whether the connection may carry a request. One that was refused on it may not be
     * repeated on it, as a late copy of the refusal could not be told from the new response.
     */
    boolean mayCarry(String requestId) {
        return isReusable() && !mRefusedRequests.contains(requestId);
    }

    /** Returns whether the connection may carry another request. */
    boolean isReusable() {
        return mReusable && !mClosed;
    }

    /** Returns whether the connection has carried a complete response. */
    boolean usedBefore() {
        return mUsedBefore;
    }

    /** Returns how long the connection has been idle, in milliseconds. */
    long idleMs(long nowMs) {
        return nowMs - mIdleSinceMs;
    }

    /**
     * Returns whether the connection has been idle for so long that the endpoint may be about to
     * close it.
     */
    boolean isExpired(long nowMs) {
        return idleMs(nowMs) >= mKeepAliveMs;
    }

    /** Returns whether the connection has been idle for so long that its peer may close it. */
    boolean isIdleCloseExpected(long nowMs) {
        return 2 * idleMs(nowMs) >= mKeepAliveMs;
    }

    void pause() {
        mChannel.config().setAutoRead(false);
    }

    void resume() {
        mChannel.config().setAutoRead(true);
    }

    /** Passes what happens on the channel to the connection, on its context. */
    private final class InboundHandler extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext handlerContext, Object message) {
            mContext.dispatch(message, EndpointConnection.this::receive);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable failure) {
            mContext.dispatch(EndpointConnection.this::connectionLost);
            handlerContext.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext handlerContext) {
            mContext.dispatch(EndpointConnection.this::connectionLost);
        }
    }
}
