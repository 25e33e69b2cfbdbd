package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertTrue;

import org.filbertrudder.standins.platform.ReplicaStandIn.Fault;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which connections of callers count as idle. */
public class IdleConnectionTest {

    private PlatformFleet mFleet;

    @BeforeMethod
    public void startFleet() {
        mFleet = new PlatformFleet("mtl");
        mFleet.writeConfiguration(true);
        mFleet.startReplica("desk-mtl-1", PlatformFleet.BOOKING_SERVICE, "mtl", 16);
        mFleet.startReplica("pool-mtl-1", PlatformFleet.MODEL_SERVICE, "mtl", 16);
        mFleet.replica("pool-mtl-1").setFault(Fault.NO_RESPONSE);
        mFleet.startGateway("mtl-1", "mtl");
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
    }

    /** Lists whether the second request arrives with the first one or after its answer. */
    @DataProvider
    public Object[][] arrivals() {
        return new Object[][] {{true}, {false}};
    }

    @Test(dataProvider = "arrivals")
    public void shorterIdleLimitClosesAConnectionWithAnOpenRequest(boolean together) {
        String first = RawCallerConnection.head("first", "GET", "/stock/x", 0);
        String second =
                RawCallerConnection.head("second", "POST", "/chat/x", 4)
                                .replace(
                                        "Content-Length",
                                        "Filbertrudder-Token-Usage: 6,8\r\nContent-Length")
                        + "body";
        try (RawCallerConnection caller =
                new RawCallerConnection(mFleet.settings("mtl-1").callerAddress())) {
            caller.send(together ? first + second : first);
            caller.readUntil("stock/x\"}");
            if (!together) {
                caller.send(second);
            }
            PlatformFleet.await(
                    "the second request is being executed",
                    () -> mFleet.replica("pool-mtl-1").executionCount("second") == 1);

            mFleet.setIdleTimeoutMs(1);
            mFleet.writeConfiguration(true);

            String response = caller.readToEnd();
            assertTrue(response.contains("HTTP/1.1 504 "), response);
        }
    }
}
