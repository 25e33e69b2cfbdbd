package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;

import org.filbertrudder.standins.platform.ReplicaStandIn;
import org.filbertrudder.standins.platform.ReplicaStandIn.Fault;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests repeatable requests whose only endpoint answers later than the stall timeout. */
public class LateResponseTest {

    private PlatformFleet mFleet;

    @BeforeMethod
    public void startFleet() {
        mFleet = new PlatformFleet("mtl");
        mFleet.writeConfiguration(true);
        mFleet.startReplica("pool-mtl-1", PlatformFleet.MODEL_SERVICE, "mtl", 64);
        mFleet.startReplica("desk-mtl-1", PlatformFleet.BOOKING_SERVICE, "mtl", 16);
        mFleet.startGateway("mtl-1", "mtl");
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
    }

    /** Lists paths of repeatable requests and whether they are answered with a stream. */
    @DataProvider
    public Object[][] repeatablePaths() {
        return new Object[][] {{"/digest/x", true}, {"/stock/x", false}};
    }

    @Test(dataProvider = "repeatablePaths")
    public void responseIsGivenUpThoughNoOtherEndpointCanAnswer(String path, boolean stream) {
        mFleet.replicas().forEach(replica -> replica.setFault(Fault.LATE_RESPONSE));
        PlatformClient client = mFleet.callerClient("mtl-1");

        PlatformClient.Response response =
                stream
                        ? client.sendStream(path, "key-club", "late")
                        : client.sendPlain("GET", path, "key-club");

        assertEquals(response.status(), 200, response.body());
        int executions = 0;
        for (ReplicaStandIn replica : mFleet.replicas()) {
            executions += replica.executionCount(response.requestId());
        }
        assertEquals(executions, 1);
    }
}
