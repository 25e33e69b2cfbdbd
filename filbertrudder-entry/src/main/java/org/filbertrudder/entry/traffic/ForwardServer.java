package org.filbertrudder.entry.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.filbertrudder.entry.control.Snapshot;
import org.filbertrudder.model.Account;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.Service;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerConnection;

/** Serves requests that other regions have forwarded; never forwards them again. */
final class ForwardServer {

    private static final long CATCH_UP_MS = 1_000;
    private static final long CATCH_UP_STEP_MS = 50;
    private static final String PREFIX = "/services/";

    private final TrafficContext mContext;
    private final RequestFactory mFactory;
    private final Consumer<Exchange> mServe;
    private final Consumer<Exchange> mCancel;
    private final Map<StreamKey, PeerSink> mStreams = new HashMap<>();

    ForwardServer(
            TrafficContext context,
            RequestFactory factory,
            Consumer<Exchange> serve,
            Consumer<Exchange> cancel) {
        mContext = context;
        mFactory = factory;
        mServe = serve;
        mCancel = cancel;
    }

    void handle(PeerConnection connection, PeerMessage message) {
        if (message instanceof PeerMessage.ForwardStart start) {
            accept(connection, start, mContext.nowMs() + CATCH_UP_MS);
        } else if (message instanceof PeerMessage.ForwardCancel cancel) {
            PeerSink sink = mStreams.get(new StreamKey(connection, cancel.stream()));
            if (sink != null) {
                sink.cancel();
            }
        } else if (message instanceof PeerMessage.ForwardCredit credit) {
            PeerSink sink = mStreams.get(new StreamKey(connection, credit.stream()));
            if (sink != null) {
                sink.credit(credit.bytes());
            }
        }
    }

    /** Serves the request once this instance is not behind the sender's configuration. */
    private void accept(PeerConnection connection, PeerMessage.ForwardStart start, long untilMs) {
        Snapshot snapshot = mContext.snapshot();
        boolean behind = snapshot.configuration().revision() < start.revision();
        if (behind && mContext.nowMs() < untilMs) {
            mContext.vertx()
                    .setTimer(CATCH_UP_STEP_MS, timer -> accept(connection, start, untilMs));
            return;
        }
        PeerSink sink = new PeerSink(connection, start.stream());
        if (behind) {
            Finisher.send(
                    sink,
                    start.requestId(),
                    Refusal.unavailable("The instance is behind. Come back later."));
            return;
        }
        try {
            serve(connection, start, sink, snapshot.configuration());
        } catch (RefusedException e) {
            Finisher.send(sink, start.requestId(), e.refusal());
        }
    }

    private void serve(
            PeerConnection connection,
            PeerMessage.ForwardStart start,
            PeerSink sink,
            Configuration configuration) {
        checkAgain(start, configuration);
        int end = start.uri().indexOf('/', PREFIX.length());
        Service service = service(start, end, configuration);
        Exchange.Incoming incoming = mFactory.forwarded(start, service, start.uri().substring(end));
        Exchange exchange = new Exchange(incoming, sink, mContext.nowMs());
        StreamKey key = new StreamKey(connection, start.stream());
        sink.mExchange = exchange;
        mStreams.put(key, sink);
        PeerConnection.CloseAction closeAction = connection.onClose(sink::cancel);
        exchange.onEnd(
                () -> {
                    mStreams.remove(key);
                    closeAction.end();
                });
        mServe.accept(exchange);
    }

    private static Service service(
            PeerMessage.ForwardStart start, int end, Configuration configuration) {
        if (end < 0) {
            throw new RefusedException(Refusal.noEndpointAllowed());
        }
        return configuration
                .service(ServiceId.of(start.uri().substring(PREFIX.length(), end)))
                .orElseThrow(() -> new RefusedException(Refusal.noEndpointAllowed()));
    }

    /** Checks key and account again, as this instance may know of a newer change. */
    private void checkAgain(PeerMessage.ForwardStart start, Configuration configuration) {
        if (start.key() == null) {
            return;
        }
        if (configuration.apiKey(start.key()).isEmpty()) {
            throw new RefusedException(Refusal.keyWithdrawn(true));
        }
        Optional<Account> account = configuration.account(start.account());
        boolean allowed =
                account.isPresent() && account.get().allows(mContext.snapshot().self().region());
        if (!allowed) {
            throw new RefusedException(Refusal.noEndpointAllowed());
        }
    }

    private record StreamKey(PeerConnection connection, long stream) {}

    /** Sends an answer to the instance that forwarded the request. */
    private final class PeerSink implements ResponseSink {

        private static final long WINDOW_BYTES = 256 * 1024;

        private final PeerConnection mConnection;
        private final long mStream;
        private Exchange mExchange;
        private boolean mHeadSent;
        private long mUnpaidBytes;
        private Runnable mDrainAction;

        PeerSink(PeerConnection connection, long stream) {
            mConnection = connection;
            mStream = stream;
        }

        void cancel() {
            if (mExchange != null) {
                mCancel.accept(mExchange);
            }
        }

        void credit(long bytes) {
            mUnpaidBytes -= bytes;
            if (!full() && mDrainAction != null) {
                Runnable action = mDrainAction;
                mDrainAction = null;
                action.run();
            }
        }

        @Override
        public void head(int status, Map<String, String> headers) {
            mHeadSent = true;
            mConnection.send(
                    new PeerMessage.ForwardHead(mStream, status, new LinkedHashMap<>(headers)));
        }

        @Override
        public boolean headSent() {
            return mHeadSent;
        }

        @Override
        public void write(Buffer data) {
            mUnpaidBytes += data.length();
            mConnection.send(new PeerMessage.ForwardData(mStream, data.getBytes()));
        }

        @Override
        public boolean full() {
            return mUnpaidBytes > WINDOW_BYTES;
        }

        @Override
        public void onDrain(Runnable action) {
            mDrainAction = action;
        }

        @Override
        public void end() {
            mConnection.send(new PeerMessage.ForwardEnd(mStream, true));
        }

        @Override
        public void abort() {
            mConnection.send(new PeerMessage.ForwardEnd(mStream, false));
        }
    }
}
