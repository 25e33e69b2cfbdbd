package org.filbertrudder.gateway.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.filbertrudder.gateway.config.Backend;
import org.filbertrudder.gateway.config.RequestKind;
import org.filbertrudder.gateway.config.RouteRule;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.model.AllowedRegions;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.policy.limits.LimitObservation;
import org.filbertrudder.policy.limits.SendPermits;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.EndpointTable;
import org.filbertrudder.policy.routing.RegionAvailability;
import org.filbertrudder.policy.routing.Router;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how requests are refused that find no endpoint in time. */
public class RequestDispatcherTest {

    private static final int GOAL_MS = 10_000;
    private static final ServiceId SERVICE = ServiceId.of("s");
    private static final RegionId REGION = RegionId.of("r");
    private static final FailureDomainId DOMAIN = FailureDomainId.of("r-a");

    private final List<GatewayRefusal> mRefusals = new ArrayList<>();
    private boolean mFailsOnce;
    private int mFailures;
    private EndpointTable mTable;
    private RequestDispatcher mDispatcher;

    @BeforeMethod
    public void createDispatcherWithOneBusyEndpoint() {
        mRefusals.clear();
        mFailsOnce = false;
        mFailures = 0;
        mTable = new EndpointTable();
        mTable.setEndpoints(
                List.of(
                        Endpoint.of(
                                EndpointId.of("i-1"), SERVICE, REGION, DOMAIN, "127.0.0.1", 1, 1)),
                Clocks.steadyMs());
        RegionAvailability noOtherRegion = region -> false;
        mDispatcher =
                new RequestDispatcher(
                        new Router(REGION, mTable, noOtherRegion),
                        new UniformRegionGraph(List.of(REGION)),
                        new Random(1),
                        new Refusals(),
                        action -> {});
    }

    private EndpointState endpoint() {
        return mTable.findById(EndpointId.of("i-1")).orElseThrow();
    }

    private void limitEndpoint(long nextPermitInMs) {
        long nowMs = Clocks.steadyMs();
        mTable.recordLimit(
                endpoint().id(), new LimitObservation(OptionalDouble.of(1), nowMs, nowMs), nowMs);
        SendPermits permits = endpoint().permits().orElseThrow();
        permits.request(1, nowMs);
        permits.handleReply(1, 0, nextPermitInMs, nowMs);
    }

    private static GatewayExchange exchangeThatArrived(long agoMs) {
        return exchangeThatArrived(agoMs, AllowedRegions.any());
    }

    private static GatewayExchange exchangeThatArrived(long agoMs, AllowedRegions allowedRegions) {
        RouteRule route =
                new RouteRule(
                        "r",
                        "h",
                        "/",
                        RequestKind.STREAM,
                        60_000,
                        GOAL_MS,
                        400,
                        1,
                        List.of(new Backend(SERVICE, 1)),
                        2,
                        false,
                        true,
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
                SERVICE,
                false,
                null,
                Clocks.steadyMs() - agoMs);
    }

    private GatewayRefusal onlyRefusal() {
        assertEquals(mRefusals.size(), 1, mRefusals.toString());
        return mRefusals.get(0);
    }

    @Test
    public void refusalWithoutALimitSaysThatEndpointsAreLimited() {
        endpoint().requestStarted(false);
        mDispatcher.submit(exchangeThatArrived(GOAL_MS + 1_000));

        assertEquals(onlyRefusal().code(), "overloaded");
        assertTrue(onlyRefusal().retryAfterMs() > 0);
    }

    @Test
    public void aRequestThatNoPermitReachesInTimeIsRefusedAtOnce() {
        limitEndpoint(20_000);
        mDispatcher.submit(exchangeThatArrived(0));

        assertEquals(onlyRefusal().code(), "endpoints_limited");
        assertTrue(onlyRefusal().retryAfterMs() >= 10_000, onlyRefusal().toString());
    }

    @Test
    public void aWaitingRequestIsRefusedOnceThePermitIsPostponed() {
        limitEndpoint(900);
        mDispatcher.submit(exchangeThatArrived(0));
        assertEquals(mRefusals, List.of());
        SendPermits permits = endpoint().permits().orElseThrow();
        permits.request(2, Clocks.steadyMs());
        permits.handleReply(2, 0, 30_000, Clocks.steadyMs());
        mDispatcher.tick();

        assertEquals(onlyRefusal().code(), "endpoints_limited");
        assertTrue(onlyRefusal().retryAfterMs() >= 20_000, onlyRefusal().toString());
        assertEquals(mDispatcher.waiting(), 0);
    }

    /** Guards against a request that waits behind others although it may run nowhere. */
    @Test
    public void aRequestThatMayRunNowhereWaitsBehindOthers() {
        endpoint().requestStarted(false);
        mDispatcher.submit(exchangeThatArrived(0));
        GatewayExchange nowhere = exchangeThatArrived(0, AllowedRegions.only(List.of()));
        nowhere.setRetryAfterMs(1_700);
        mDispatcher.submit(nowhere);

        assertEquals(mDispatcher.waiting(), 1);
        assertEquals(onlyRefusal(), GatewayRefusal.unavailable(1_700));
    }

    @Test
    public void noRefusalTellsCallersToComeBackAtOnce() {
        limitEndpoint(5);
        mDispatcher.submit(exchangeThatArrived(GOAL_MS - 2));

        assertTrue(mRefusals.stream().allMatch(refusal -> refusal.retryAfterMs() > 100));
    }

    @Test
    public void exceptionAtOneRequestKeepsTheOthersOfItsPassWaiting() throws Exception {
        endpoint().requestStarted(false);
        mDispatcher.submit(exchangeThatArrived(GOAL_MS - 100));
        mDispatcher.submit(exchangeThatArrived(GOAL_MS - 100));
        assertEquals(mDispatcher.waiting(), 2);
        TimeUnit.MILLISECONDS.sleep(200);
        mFailsOnce = true;
        mDispatcher.tick();

        assertEquals(mFailures, 1);
        assertEquals(onlyRefusal().code(), "overloaded");
    }

    /** Collects refusals; no request is expected to start. */
    private final class Refusals implements RequestDispatcher.Starter {

        @Override
        public void startLocal(GatewayExchange exchange, EndpointState endpoint) {
            throw new AssertionError("started at " + endpoint.id());
        }

        @Override
        public void startRemote(
                GatewayExchange exchange, RegionId region, Optional<EndpointState> expected) {
            throw new AssertionError("forwarded to " + region);
        }

        @Override
        public void giveUp(GatewayExchange exchange, GatewayRefusal refusal) {
            if (mFailsOnce) {
                mFailsOnce = false;
                throw new IllegalStateException("Raised by the test.");
            }
            mRefusals.add(refusal);
        }

        @Override
        public void fail(GatewayExchange exchange, Throwable exception) {
            if (!(exception instanceof IllegalStateException)) {
                throw new AssertionError(exception);
            }
            mFailures++;
        }
    }
}
