package org.filbertrudder.measure;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerHandler;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.peer.PeerSecurity;
import org.filbertrudder.peer.forwarding.ForwardListener;
import org.filbertrudder.peer.forwarding.ForwardReceiver;
import org.filbertrudder.peer.forwarding.ForwardSender;
import org.filbertrudder.peer.forwarding.ForwardedResponse;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.scenarios.platform.FreePorts;
import org.filbertrudder.scenarios.platform.LinkProxy;

/**
 * Measures the time between the events of a long forwarded stream around a fault of its connection,
 * on loopback.
 */
final class ForwardGap implements Experiment {

    private static final int STREAMS = 20;
    private static final long EVENT_INTERVAL_MS = 40;
    private static final long TICK_MS = 100;
    private static final long BEFORE_MS = 1_000;
    private static final long AFTER_MS = 4_000;
    private static final long BIN_MS = 500;
    private static final String HOST = "127.0.0.1";

    private final Vertx mVertx = Vertx.vertx();
    private final Context mContext = mVertx.getOrCreateContext();
    private final ConcurrentLinkedQueue<Long> mEventsMs = new ConcurrentLinkedQueue<>();

    private enum Fault {
        SILENT_BOTH_WAYS,
        SILENT_TO_RECEIVER,
        SILENT_TO_SENDER,
        RESET
    }

    @Override
    public Table run(long seed) {
        Random random = new Random(seed);
        Table table = new Table("fault", "from_ms", "streams", "median_gap_ms", "worst_gap_ms");
        for (Fault fault : Fault.values()) {
            List<List<Long>> gapsByBin = new ArrayList<>();
            for (long fromMs = -BEFORE_MS; fromMs < AFTER_MS; fromMs += BIN_MS) {
                gapsByBin.add(new ArrayList<>());
            }
            for (int i = 0; i < STREAMS; i++) {
                addGaps(fault, random.nextInt(300), gapsByBin);
            }
            for (int i = 0; i < gapsByBin.size(); i++) {
                List<Long> gaps = gapsByBin.get(i);
                Collections.sort(gaps);
                table.add(
                        fault,
                        i * BIN_MS - BEFORE_MS,
                        gaps.size(),
                        gaps.get(gaps.size() / 2),
                        gaps.get(gaps.size() - 1));
            }
        }
        mVertx.close().toCompletionStage().toCompletableFuture().join();
        return table;
    }

    /** Adds the longest gap of one stream that ends in each bin, or is open over all of it. */
    private void addGaps(Fault fault, int delayMs, List<List<Long>> gapsByBin) {
        List<Integer> ports = FreePorts.find(2);
        int port = ports.get(1);
        mEventsMs.clear();
        Peers peers = new Peers(port, ports.get(0));
        LinkProxy proxy =
                new LinkProxy(
                        mVertx, new PeerAddress(HOST, ports.get(0)), new PeerAddress(HOST, port));
        mContext.runOnContext(ignored -> peers.start());
        Pause.sleepMs(BEFORE_MS + BIN_MS + delayMs);
        long faultMs = nowMs();
        apply(fault, proxy);
        Pause.sleepMs(AFTER_MS + BIN_MS);
        mContext.runOnContext(ignored -> peers.stop());
        proxy.close();
        List<Long> times = List.copyOf(mEventsMs);
        for (int i = 0; i < gapsByBin.size(); i++) {
            long fromMs = faultMs - BEFORE_MS + i * BIN_MS;
            long longestMs = 0;
            for (int j = 1; j < times.size(); j++) {
                if (times.get(j) >= fromMs && times.get(j - 1) < fromMs + BIN_MS) {
                    longestMs = Math.max(longestMs, times.get(j) - times.get(j - 1));
                }
            }
            gapsByBin.get(i).add(longestMs);
        }
    }

    private static void apply(Fault fault, LinkProxy proxy) {
        if (fault == Fault.RESET) {
            proxy.reset();
        } else {
            proxy.silence(fault != Fault.SILENT_TO_SENDER, fault != Fault.SILENT_TO_RECEIVER);
        }
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Two instances, one of which forwards a stream to the other. */
    private final class Peers implements ForwardListener {

        private final int mPort;
        private final int mProxyPort;
        private PeerNetwork mSenderNetwork;
        private PeerNetwork mReceiverNetwork;
        private ForwardSender mSender;
        private ForwardReceiver mReceiver;
        private long mTickTimer;
        private long mEventTimer;

        Peers(int port, int proxyPort) {
            mPort = port;
            mProxyPort = proxyPort;
        }

        void start() {
            mReceiverNetwork =
                    network("receiver", (from, message) -> mReceiver.handle(from, message));
            mReceiver = new ForwardReceiver(this::serve, ForwardGap::nowMs, event -> {});
            mSenderNetwork = network("sender", (from, message) -> mSender.handle(from, message));
            mSender =
                    new ForwardSender(
                            mSenderNetwork::withConnection, ForwardGap::nowMs, event -> {});
            mReceiverNetwork.listen(HOST, mPort).thenRun(this::forward);
            mTickTimer =
                    mVertx.setPeriodic(
                            TICK_MS,
                            timer -> {
                                mSender.tick(nowMs());
                                mReceiver.tick(nowMs());
                            });
        }

        private PeerNetwork network(String id, PeerHandler handler) {
            return new PeerNetwork(
                    mVertx,
                    mContext,
                    PeerSecurity.plainText(),
                    () -> member(id),
                    handler,
                    error -> {});
        }

        private Member member(String id) {
            return new Member(
                    InstanceId.of(id),
                    1,
                    RegionId.of("r"),
                    FailureDomainId.of("r-a"),
                    HOST,
                    1,
                    mProxyPort,
                    1,
                    MemberState.LIVE);
        }

        private void forward() {
            mSender.start(
                    member("receiver"),
                    stream ->
                            new PeerMessage.ForwardStart(
                                    stream,
                                    "request",
                                    null,
                                    null,
                                    0,
                                    null,
                                    "POST",
                                    "/",
                                    Map.of(),
                                    new byte[0],
                                    60_000,
                                    null,
                                    null),
                    () -> false,
                    this);
        }

        private void serve(PeerMessage.ForwardStart start, ForwardedResponse response) {
            response.sendHead(200, Map.of());
            mEventTimer =
                    mVertx.setPeriodic(
                            EVENT_INTERVAL_MS, timer -> response.write(Buffer.buffer("event")));
        }

        void stop() {
            mVertx.cancelTimer(mTickTimer);
            mVertx.cancelTimer(mEventTimer);
            mSenderNetwork.close();
            mReceiverNetwork.close();
        }

        @Override
        public void head(PeerMessage.ForwardHead head) {}

        @Override
        public void data(byte[] data) {
            mEventsMs.add(nowMs());
        }

        @Override
        public void ended() {}

        @Override
        public void failed(Failure failure) {
            throw new IllegalStateException("The stream has ended: " + failure);
        }
    }
}
