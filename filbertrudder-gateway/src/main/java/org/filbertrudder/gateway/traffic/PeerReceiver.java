package org.filbertrudder.gateway.traffic;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerConnection;

/** Receives the requests that other instances forward and sends their answers back. */
final class PeerReceiver {

    /** Names the header that tells the last event that the caller has of this answer. */
    static final String RESUME_AFTER = "x-resume-after";

    /** The bytes of an answer that may be on the way before the other side must confirm some. */
    private static final long WINDOW_BYTES = 256 * 1024;

    /** The bytes that are confirmed at once. */
    static final long CREDIT_STEP_BYTES = 64 * 1024;

    /** How often a working connection is shown, in milliseconds. */
    private static final long ALIVE_INTERVAL_MS = 500;

    private final Intake mIntake;
    private final Consumer<GatewayExchange> mCancel;
    private final Map<Key, PeerSink> mSinks = new HashMap<>();
    private long mNextAliveMs;

    PeerReceiver(Intake intake, Consumer<GatewayExchange> cancel) {
        mIntake = intake;
        mCancel = cancel;
    }

    /** Handles a message of another instance. */
    void handle(PeerConnection from, PeerMessage message) {
        if (message instanceof PeerMessage.ForwardStart start) {
            receive(from, start);
        } else if (message instanceof PeerMessage.ForwardCancel cancel) {
            PeerSink sink = mSinks.get(new Key(from, cancel.stream()));
            if (sink != null) {
                sink.cancel();
            }
        } else if (message instanceof PeerMessage.ForwardCredit credit) {
            PeerSink sink = mSinks.get(new Key(from, credit.stream()));
            if (sink != null) {
                sink.confirm(credit.bytes());
            }
        }
    }

    /** Shows the other sides that wait for answers that their connections work. */
    void tick(long nowMs) {
        if (nowMs < mNextAliveMs) {
            return;
        }
        mNextAliveMs = nowMs + ALIVE_INTERVAL_MS;
        Set<PeerConnection> waiting = new HashSet<>();
        mSinks.keySet().forEach(key -> waiting.add(key.connection()));
        waiting.forEach(connection -> connection.send(new PeerMessage.ForwardAlive()));
    }

    private void receive(PeerConnection from, PeerMessage.ForwardStart start) {
        Key key = new Key(from, start.stream());
        PeerSink sink = new PeerSink(key);
        mSinks.put(key, sink);
        sink.mCloseAction = from.onClose(sink::cancel);
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        start.headers().forEach(headers::add);
        mIntake.accept(start, headers, sink).ifPresent(sink::attach);
    }

    private record Key(PeerConnection connection, long stream) {}

    /** Turns a forwarded request into an exchange, or refuses it at the sink. */
    @FunctionalInterface
    interface Intake {

        /** Returns the exchange; empty if it was refused. */
        Optional<GatewayExchange> accept(
                PeerMessage.ForwardStart start, MultiMap headers, AnswerSink sink);
    }

    /** Sends an answer to the instance that forwarded the request. */
    private final class PeerSink implements AnswerSink {

        private final Key mKey;
        private PeerConnection.CloseAction mCloseAction;
        private GatewayExchange mExchange;
        private boolean mCancelled;
        private boolean mHeadSent;
        private long mUnconfirmedBytes;
        private Runnable mOnDrain;

        PeerSink(Key key) {
            mKey = key;
        }

        void attach(GatewayExchange exchange) {
            mExchange = exchange;
            if (mCancelled) {
                mCancel.accept(exchange);
            }
        }

        void cancel() {
            mCancelled = true;
            finish();
            if (mExchange != null) {
                mCancel.accept(mExchange);
            }
        }

        private void finish() {
            mSinks.remove(mKey);
            if (mCloseAction != null) {
                mCloseAction.end();
            }
        }

        void confirm(long bytes) {
            mUnconfirmedBytes -= bytes;
            if (!full() && mOnDrain != null) {
                Runnable action = mOnDrain;
                mOnDrain = null;
                action.run();
            }
        }

        private void send(PeerMessage message) {
            if (!mCancelled) {
                mKey.connection().send(message);
            }
        }

        @Override
        public void head(int status, Map<String, String> headers) {
            mHeadSent = true;
            send(new PeerMessage.ForwardHead(mKey.stream(), status, headers));
        }

        @Override
        public boolean headSent() {
            return mHeadSent;
        }

        @Override
        public void write(Buffer data) {
            mUnconfirmedBytes += data.length();
            send(new PeerMessage.ForwardData(mKey.stream(), data.getBytes()));
        }

        @Override
        public boolean full() {
            return mUnconfirmedBytes > WINDOW_BYTES;
        }

        @Override
        public void onDrain(Runnable action) {
            mOnDrain = action;
        }

        @Override
        public void end() {
            finish();
            send(new PeerMessage.ForwardEnd(mKey.stream(), true));
        }

        @Override
        public void abort() {
            finish();
            send(new PeerMessage.ForwardEnd(mKey.stream(), false));
        }

        @Override
        public void refuse(Refusal refusal) {
            if (mHeadSent) {
                abort();
                return;
            }
            head(refusal.status(), new HashMap<>(ForwardHeaders.of(refusal)));
            end();
        }
    }
}
