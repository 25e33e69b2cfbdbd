package org.filbertrudder.gateway.traffic;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.filbertrudder.gateway.BoundSettings;
import org.filbertrudder.gateway.GatewaySettings;
import org.filbertrudder.gateway.config.Backend;
import org.filbertrudder.gateway.config.RequestKind;
import org.filbertrudder.gateway.config.RouteRule;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewayControl;
import org.filbertrudder.gateway.control.StateSource;
import org.filbertrudder.model.AllowedRegions;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.policy.membership.PeerAddress;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests what a caller gets when a step at the end of its request raises an exception, and that a
 * forwarded request which may run nowhere is refused.
 */
public class GatewayExchangeFinisherTest {

    private static final PeerAddress ADDRESS = new PeerAddress("127.0.0.1", 1);

    private final List<String> mSent = new ArrayList<>();
    private Vertx mVertx;
    private GatewayExchangeFinisher mFinisher;

    /** The control state is not started, so that the log line of a request cannot be written. */
    @BeforeMethod
    public void createFinisher() {
        mSent.clear();
        mVertx = Vertx.vertx();
        GatewaySettings settings =
                new GatewaySettings(
                        InstanceId.of("mtl-1"),
                        FailureDomainId.of("mtl-a"),
                        Map.of(FailureDomainId.of("mtl-a"), RegionId.of("mtl")),
                        ADDRESS,
                        ADDRESS,
                        ADDRESS,
                        ADDRESS,
                        1,
                        1,
                        ADDRESS,
                        List.of(),
                        new BoundSettings(6_000, 4_000, 4_000, 1_000, 4_000, 0.2, 50),
                        Member.STANDARD_STRENGTH,
                        false);
        StateSource source =
                (StateSource)
                        Proxy.newProxyInstance(
                                getClass().getClassLoader(),
                                new Class<?>[] {StateSource.class},
                                (proxy, method, arguments) -> null);
        mFinisher =
                new GatewayExchangeFinisher(
                        new GatewayControl(mVertx, mVertx.getOrCreateContext(), settings, source),
                        new GatewayMetrics());
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private GatewayExchange exchange(GatewayResponseSink sink) {
        return exchange(sink, AllowedRegions.any());
    }

    private GatewayExchange exchange(GatewayResponseSink sink, AllowedRegions allowedRegions) {
        RouteRule route =
                new RouteRule(
                        "r",
                        "h",
                        "/",
                        RequestKind.UNSAFE,
                        60_000,
                        1_000,
                        0,
                        1,
                        List.of(new Backend(ServiceId.of("s"), 1)),
                        1,
                        false,
                        false,
                        allowedRegions);
        RequestHead head =
                new RequestHead(
                        "a1",
                        "h",
                        Optional.empty(),
                        OptionalLong.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        Map.of());
        return new GatewayExchange(
                head,
                "POST",
                "/x",
                Buffer.buffer(),
                route,
                Optional.empty(),
                ServiceId.of("s"),
                false,
                sink,
                Clocks.steadyMs());
    }

    private static void fail() {
        throw new IllegalStateException("Raised by the test.");
    }

    @Test
    public void requestGetsNoAnswerWhenTheStepsAtItsEndFail() {
        GatewayExchange exchange = exchange(new RecordingSink(false));
        exchange.onEnd(GatewayExchangeFinisherTest::fail);
        exchange.onEnd(() -> mSent.add("ended"));
        exchange.setAttempt(new FailingAttempt());

        mFinisher.refuse(exchange, GatewayRefusal.noRoute());

        assertEquals(mSent, List.of("ended", "404"));
    }

    @Test
    public void connectionStaysOpenWhenItsRefusalCannotBeSent() {
        mFinisher.refuse(exchange(new RecordingSink(true)), GatewayRefusal.noRoute());

        assertEquals(mSent, List.of("abort"));
    }

    /** Guards against a request that waits, and is told to come back, though no home allows it. */
    @Test
    public void forwardedRequestWithoutAHomeInCommonIsAdmitted() {
        Admission admission =
                new Admission(
                        mVertx,
                        null,
                        null,
                        mFinisher,
                        exchange -> mSent.add("run"),
                        exchange -> mSent.add("admitted"));
        admission.admitForwarded(
                exchange(new RecordingSink(false), AllowedRegions.only(List.of())));

        assertEquals(mSent, List.of("503"));
    }

    /** Raises an exception when it is cancelled. */
    private static final class FailingAttempt implements Attempt {

        @Override
        public void cancel() {
            fail();
        }

        @Override
        public void pause() {}

        @Override
        public void resume() {}
    }

    /** Records refusals, or raises an exception instead. */
    private final class RecordingSink implements GatewayResponseSink {

        private final boolean mFailing;

        RecordingSink(boolean failing) {
            mFailing = failing;
        }

        @Override
        public void sendHead(int status, Map<String, String> headers) {}

        @Override
        public boolean headSent() {
            return false;
        }

        @Override
        public void write(Buffer data) {}

        @Override
        public boolean writeQueueFull() {
            return false;
        }

        @Override
        public void onDrain(Runnable action) {}

        @Override
        public void end() {}

        @Override
        public void abort() {
            mSent.add("abort");
        }

        @Override
        public void refuse(GatewayRefusal refusal) {
            if (mFailing) {
                fail();
            }
            mSent.add(Integer.toString(refusal.status()));
        }
    }
}
