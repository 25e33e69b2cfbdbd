package org.filbertrudder.entry.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.filbertrudder.peer.forwarding.HeldBytes;
import org.filbertrudder.policy.connections.ConnectionProgress;

/**
 * Carries out the decisions of a {@link HeadBudget} in front of the HTTP parser of one connection.
 *
 * <p>The parser gets the bytes of a request only when the answer to the one before has been sent,
 * so a connection has one parsed head at most. What arrives meanwhile waits unparsed, and reading
 * pauses when it exceeds a limit.
 */
public final class HeadBudgetHandler extends ChannelDuplexHandler {

    /** The bytes that may wait behind an open request; above it, reading pauses. */
    private static final int MAX_WAITING_BYTES = 16 * 1_024;

    /** Stands for no limit on the time of a head. */
    public static final long NO_TIMEOUT = 0;

    private final HeadBudget mBudget;
    private final HeldBytes.Hold mWaitingHold;
    private final HeadRefusals mRefusals;
    private final long mHeadTimeoutMs;
    private final RequestScanner mScanner = new RequestScanner();
    private ChannelHandlerContext mContext;
    private ByteBuf mWaiting = Unpooled.EMPTY_BUFFER;
    private Future<?> mTimeout;
    private HttpRequest mRequest;
    private boolean mIsRequestOpen;
    private boolean mIsBodyRead;
    private boolean mIsAnswered;
    private boolean mIsPassing;
    private boolean mIsFeeding;
    private boolean mIsReadingPaused;
    private boolean mIsReadWanted;
    private boolean mIsRefused;
    private long mDroppedBytes;

    private HeadBudgetHandler(
            HeldBytes bound, long maxHeadBytes, long headTimeoutMs, HeadRefusals refusals) {
        mBudget = new HeadBudget(bound, maxHeadBytes);
        mWaitingHold = bound.newHold();
        mHeadTimeoutMs = headTimeoutMs;
        mRefusals = refusals;
    }

    /**
     * Adds the handler to a new connection of a server, in front of its HTTP/1 parser. The server
     * must not accept clear-text HTTP/2, with which there is no parser yet.
     *
     * @param bound the bound for the heads of all connections that share it; they must run on one
     *     event loop
     * @param maxHeadBytes the maximum size of the header lines of a request, in bytes
     * @param headTimeoutMs the time for a head, in milliseconds; with it, a connection is also
     *     closed if its request is answered before its body has been read
     */
    public static void install(
            HttpConnection connection,
            HeldBytes bound,
            long maxHeadBytes,
            long headTimeoutMs,
            HeadRefusals refusals) {
        ConnectionBase base = (ConnectionBase) connection;
        ChannelPipeline pipeline = base.channel().pipeline();
        if (pipeline.get(HttpRequestDecoder.class) == null) {
            throw new IllegalStateException("The connection does not use HTTP/1.");
        }
        HeadBudgetHandler handler =
                new HeadBudgetHandler(bound, maxHeadBytes, headTimeoutMs, refusals);
        String decoder = pipeline.context(HttpRequestDecoder.class).name();
        String server = base.channelHandlerContext().name();
        pipeline.addBefore(decoder, null, handler);
        pipeline.addBefore(server, null, handler.new MessageObserver());
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
        startTimeout();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof ByteBuf part) || mIsPassing) {
            context.fireChannelRead(message);
        } else if (mIsRefused) {
            drop(part);
        } else {
            append(part);
            feed();
        }
    }

    private void drop(ByteBuf part) {
        mDroppedBytes += part.readableBytes();
        part.release();
        if (mDroppedBytes > ConnectionProgress.MAX_DROPPED_BYTES) {
            mContext.close();
        }
    }

    private void append(ByteBuf part) {
        if (!mWaiting.isReadable()) {
            mWaiting.release();
            mWaiting = part;
            return;
        }
        // A part may use little of its buffer, so waiting parts are copied.
        ByteBuf joined = mContext.alloc().buffer(mWaiting.readableBytes() + part.readableBytes());
        joined.writeBytes(mWaiting).writeBytes(part);
        mWaiting.release();
        part.release();
        mWaiting = joined;
    }

    /** Passes on what is waiting, up to the begin of a request behind an open one. */
    private void feed() {
        if (mIsFeeding) {
            return;
        }
        mIsFeeding = true;
        try {
            while (mWaiting.isReadable() && !mIsRefused && !isHeld()) {
                feedPart();
            }
        } finally {
            mIsFeeding = false;
        }
        holdOrResume();
    }

    private boolean isHeld() {
        return mIsRequestOpen && mScanner.isBetweenRequests() && !mIsPassing;
    }

    private void feedPart() {
        if (mIsPassing) {
            ByteBuf rest = mWaiting;
            mWaiting = Unpooled.EMPTY_BUFFER;
            mContext.fireChannelRead(rest);
            return;
        }
        if (mScanner.isBetweenRequests() && mTimeout == null) {
            startTimeout();
        }
        int length = mScanner.scan(mWaiting);
        HeadBudget.Decision decision = mBudget.charge(mScanner.size());
        if (decision != HeadBudget.Decision.READ) {
            refuse(decision);
            return;
        }
        mContext.fireChannelRead(mWaiting.readRetainedSlice(length));
        setFraming();
    }

    /** Tells the scanner what follows a head that the parser has just read. */
    private void setFraming() {
        HttpRequest request = mRequest;
        mRequest = null;
        if (request == null || mIsBodyRead || mIsPassing) {
            return;
        }
        if (HttpUtil.isTransferEncodingChunked(request)) {
            mScanner.chunksFollow();
        } else {
            mScanner.bodyFollows(HttpUtil.getContentLength(request, 0L));
        }
    }

    private void holdOrResume() {
        int waiting = mWaiting.readableBytes();
        mWaitingHold.release();
        if (waiting == 0) {
            mWaiting.release();
            mWaiting = Unpooled.EMPTY_BUFFER;
            resumeReading();
            return;
        }
        if (mWaiting.capacity() > 2 * waiting) {
            ByteBuf copy = mContext.alloc().buffer(waiting).writeBytes(mWaiting);
            mWaiting.release();
            mWaiting = copy;
        }
        if (!mWaitingHold.tryAdd(waiting) || waiting > MAX_WAITING_BYTES) {
            pauseReading();
        }
    }

    private void pauseReading() {
        if (!mIsReadingPaused && mContext.channel().isActive()) {
            mIsReadWanted = mContext.channel().config().isAutoRead();
            mIsReadingPaused = true;
            mContext.channel().config().setAutoRead(false);
        }
    }

    private void resumeReading() {
        if (mIsReadingPaused) {
            mIsReadingPaused = false;
            if (mIsReadWanted) {
                mContext.channel().config().setAutoRead(true);
            }
        }
    }

    /** Keeps reading paused when the server behind resumes it. */
    @Override
    public void read(ChannelHandlerContext context) {
        if (mIsReadingPaused) {
            mIsReadWanted = true;
            context.channel().config().setAutoRead(false);
        } else {
            context.read();
        }
    }

    private void refuse(HeadBudget.Decision reason) {
        mIsRefused = true;
        mRefusals.refused(reason);
        mWaiting.release();
        mWaiting = Unpooled.EMPTY_BUFFER;
        if (mIsRequestOpen || !isAnswered(reason)) {
            mContext.close();
            return;
        }
        String response =
                reason == HeadBudget.Decision.REFUSE_TOO_LONG
                        ? mRefusals.tooLong()
                        : mRefusals.overloaded();
        // What the caller goes on sending is dropped for a while: a connection that is closed with
        // unread bytes is reset, and the reset may overtake the refusal.
        mContext.writeAndFlush(Unpooled.copiedBuffer(response, StandardCharsets.UTF_8))
                .addListener(
                        ignored -> {
                            if (mContext.channel() instanceof SocketChannel channel) {
                                channel.shutdownOutput();
                            }
                        });
        mContext.executor()
                .schedule(
                        () -> mContext.close(),
                        ConnectionProgress.DROP_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS);
    }

    private static boolean isAnswered(HeadBudget.Decision reason) {
        return reason == HeadBudget.Decision.REFUSE_TOO_LONG
                || reason == HeadBudget.Decision.REFUSE_OVERLOADED;
    }

    private void startTimeout() {
        if (mHeadTimeoutMs != NO_TIMEOUT) {
            mTimeout =
                    mContext.executor()
                            .schedule(
                                    () -> mContext.close(), mHeadTimeoutMs, TimeUnit.MILLISECONDS);
        }
    }

    private void cancelTimeout() {
        if (mTimeout != null) {
            mTimeout.cancel(false);
            mTimeout = null;
        }
    }

    private void requestBegun(HttpRequest request) {
        cancelTimeout();
        mRequest = request;
        mIsRequestOpen = true;
        mIsBodyRead = false;
        mIsAnswered = false;
        if (request.decoderResult().isFailure()) {
            // The parser reads nothing more on this connection.
            mIsPassing = true;
        }
    }

    private void bodyRead(LastHttpContent last) {
        mIsBodyRead = true;
        mIsPassing = mIsPassing || last.decoderResult().isFailure();
        mScanner.requestEnded();
        endRequestIfDone();
    }

    private void answered() {
        mIsAnswered = true;
        if (!mIsBodyRead && mHeadTimeoutMs != NO_TIMEOUT) {
            // The rest of the body may have been received with the head.
            mContext.executor().execute(this::closeUnlessBodyRead);
        }
        endRequestIfDone();
    }

    private void closeUnlessBodyRead() {
        if (mIsRequestOpen && !mIsBodyRead) {
            mContext.close();
        }
    }

    private void endRequestIfDone() {
        if (mIsRequestOpen && mIsBodyRead && mIsAnswered) {
            mIsRequestOpen = false;
            mBudget.release();
            mScanner.resetSize();
            resumeReading();
            feedWaiting();
        }
    }

    /** Passes on the request that waits behind one which has ended. */
    private void feedWaiting() {
        if (!mIsFeeding && mWaiting.isReadable()) {
            feed();
            // The server sends what it writes while it reads only at the end of a read.
            mContext.fireChannelReadComplete();
        }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        cancelTimeout();
        mIsRefused = true;
        mWaiting.release();
        mWaiting = Unpooled.EMPTY_BUFFER;
        mWaitingHold.release();
        mBudget.release();
    }

    /** Observes the messages between the parser and the server. */
    private final class MessageObserver extends ChannelDuplexHandler {

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (mIsRefused) {
                ReferenceCountUtil.release(message);
                return;
            }
            if (message instanceof HttpRequest request) {
                requestBegun(request);
            }
            context.fireChannelRead(message);
            if (message instanceof LastHttpContent last) {
                bodyRead(last);
            }
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            ChannelPromise sent = promise;
            boolean isInterim =
                    message instanceof HttpResponse response && isInformational(response.status());
            if (message instanceof LastHttpContent && !isInterim) {
                sent = promise.unvoid();
                sent.addListener((ChannelFutureListener) ignored -> answered());
            }
            context.write(message, sent);
        }

        private static boolean isInformational(HttpResponseStatus status) {
            return status.codeClass() == HttpStatusClass.INFORMATIONAL;
        }
    }
}
