package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.MultiMap;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.concurrent.TimeUnit;
import org.filbertrudder.gateway.traffic.HttpProtocol;
import org.filbertrudder.platform.PlatformProtocol;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what callers get when an exception is raised before their request has an exchange. */
public class EarlyExceptionTest {

    private static final String REPLICA = "desk-mtl-1";

    /** The header that names the step which fails. */
    private static final String FAILING_STEP = "failing-step";

    private PlatformFleet mFleet;

    @BeforeMethod
    public void startInstance() {
        mFleet = new PlatformFleet("mtl");
        mFleet.writeConfiguration(true);
        mFleet.startReplica(REPLICA, PlatformFleet.BOOKING_SERVICE, "mtl", 16);
        mFleet.startGateway("mtl-1", "mtl", failingProtocol());
    }

    @AfterMethod(alwaysRun = true)
    public void stopInstance() {
        mFleet.close();
    }

    /** Returns the protocol of the platform, which fails for requests that name a step. */
    private static HttpProtocol failingProtocol() {
        HttpProtocol protocol = new PlatformProtocol();
        return (HttpProtocol)
                Proxy.newProxyInstance(
                        EarlyExceptionTest.class.getClassLoader(),
                        new Class<?>[] {HttpProtocol.class},
                        (proxy, method, arguments) -> call(protocol, method, arguments));
    }

    private static Object call(HttpProtocol protocol, Method method, Object[] arguments)
            throws Throwable {
        String step =
                arguments != null && arguments[0] instanceof MultiMap headers
                        ? headers.get(FAILING_STEP)
                        : null;
        if (method.getName().equals(step)) {
            throw new IllegalStateException("Raised by the test.");
        }
        if ("stack".equals(step)) {
            throw new StackOverflowError("Raised by the test.");
        }
        if ("body".equals(step) && method.getName().equals("readRequest")) {
            return null;
        }
        try {
            return method.invoke(protocol, arguments);
        } catch (InvocationTargetException e) {
            throw e.getCause();
        }
    }

    /** Lists the steps that fail, and whether the body arrives after the failure. */
    @DataProvider
    public Object[][] failingSteps() {
        return new Object[][] {
            {"readRequestId", false},
            {"readRequestId", true},
            {"readRequest", false},
            {"readRequest", true},
            {"stack", false},
            {"body", false},
        };
    }

    @Test(dataProvider = "failingSteps")
    public void requestWhoseHandlingFailsEarlyGetsNoAnswer(String step, boolean bodyLater)
            throws Exception {
        String head =
                RawCallerConnection.head("failed", "POST", "/book/x", 4)
                        .replace(
                                "Content-Length",
                                FAILING_STEP + ": " + step + "\r\nContent-Length");
        try (RawCallerConnection caller =
                new RawCallerConnection(mFleet.settings("mtl-1").callerAddress())) {
            caller.send(bodyLater ? head : head + "body");

            String response = caller.readUntil("}");
            assertTrue(response.startsWith("HTTP/1.1 500 "), response);
            assertTrue(response.contains("\"not_run\":true"), response);
            assertEquals(mFleet.replica(REPLICA).executionCount("failed"), 0);

            caller.send(
                    (bodyLater ? "body" : "")
                            + RawCallerConnection.head("next", "GET", "/stock/x", 0));
            String next = caller.readUntil("stock/x");
            assertTrue(next.startsWith("HTTP/1.1 200 "), next);
            assertFalse(next.contains("HTTP/1.1 500 "), next);
        }
        mFleet.stopGateway("mtl-1").get(20, TimeUnit.SECONDS);
    }
}
