package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import org.filbertrudder.gateway.traffic.HttpProtocol;
import org.filbertrudder.gateway.traffic.ResponseHead;
import org.filbertrudder.platform.PlatformProtocol;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what callers get when a step raises an exception after the admission of their request. */
public class StepExceptionTest {

    private static final String REPLICA = "desk-mtl-1";

    /** Well before the time limit of the route. */
    private static final long MAX_ANSWER_MS = 3_000;

    private PlatformFleet mFleet;
    private volatile Step mFailingStep;

    /** Lists the steps that fail. */
    private enum Step {
        SEND,
        READ_HEAD,
        SEND_HEAD
    }

    /** Requests to the second region are forwarded to the first one, where the steps fail. */
    @BeforeClass
    public void startFleet() {
        mFleet = new PlatformFleet("mtl", "sag");
        mFleet.writeConfiguration(true);
        mFleet.startReplica(REPLICA, PlatformFleet.BOOKING_SERVICE, "mtl", 16);
        mFleet.startGateway("mtl-1", "mtl", failingProtocol());
        mFleet.startGateway("sag-1", "sag");
        for (String gateway : new String[] {"mtl-1", "sag-1"}) {
            PlatformFleet.await("the replica is used by " + gateway, () -> isServed(gateway));
        }
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
    }

    @AfterMethod(alwaysRun = true)
    public void endFailures() {
        mFailingStep = null;
    }

    private boolean isServed(String gateway) {
        return mFleet.callerClient(gateway).sendPlain("GET", "/stock/x", "key-club").status()
                == 200;
    }

    private HttpProtocol failingProtocol() {
        HttpProtocol protocol = new PlatformProtocol();
        return (HttpProtocol)
                Proxy.newProxyInstance(
                        StepExceptionTest.class.getClassLoader(),
                        new Class<?>[] {HttpProtocol.class},
                        (proxy, method, arguments) -> call(protocol, method, arguments));
    }

    private Object call(HttpProtocol protocol, Method method, Object[] arguments) throws Throwable {
        Step step = mFailingStep;
        boolean fails =
                step == Step.SEND && method.getName().equals("writeAttemptHeaders")
                        || step == Step.READ_HEAD && method.getName().equals("readResponse");
        if (fails) {
            throw new IllegalStateException("Raised by the test.");
        }
        Object result;
        try {
            result = method.invoke(protocol, arguments);
        } catch (InvocationTargetException e) {
            throw e.getCause();
        }
        if (step == Step.SEND_HEAD && result instanceof ResponseHead head) {
            head.passedHeaders().put("name\u0001", "A sink refuses the name.");
        }
        return result;
    }

    /** Lists the instance that the caller uses, the step that fails, and the expected status. */
    @DataProvider
    public Object[][] failingSteps() {
        return new Object[][] {
            {"mtl-1", Step.SEND, 500},
            {"mtl-1", Step.READ_HEAD, 502},
            {"mtl-1", Step.SEND_HEAD, 500},
            {"sag-1", Step.SEND, 500},
            {"sag-1", Step.READ_HEAD, 502},
            {"sag-1", Step.SEND_HEAD, 500},
        };
    }

    @Test(dataProvider = "failingSteps")
    public void requestWaitsForItsTimeLimitAfterAnException(
            String gateway, Step step, int expectedStatus) {
        PlatformClient caller = mFleet.callerClient(gateway);
        mFailingStep = step;
        long startNs = System.nanoTime();

        PlatformClient.Response response = caller.sendPlain("POST", "/book/x", "key-club");

        long elapsedMs = (System.nanoTime() - startNs) / 1_000_000;
        mFailingStep = null;
        assertEquals(response.status(), expectedStatus, response.toString());
        assertFalse(response.body().contains("\"not_run\":true"), response.toString());
        assertTrue(elapsedMs < MAX_ANSWER_MS, elapsedMs + " ms");
        assertTrue(isServed(gateway), "The next request is served.");
    }
}
