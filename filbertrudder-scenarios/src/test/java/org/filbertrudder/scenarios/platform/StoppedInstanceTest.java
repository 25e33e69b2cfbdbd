package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.filbertrudder.policy.membership.PeerAddress;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that an instance which has stopped takes no request while its process still ends. */
public class StoppedInstanceTest {

    private static final long STOP_TIMEOUT_MS = 20_000;

    private PlatformFleet mFleet;
    private PeerAddress mCallerAddress;

    @BeforeMethod
    public void startInstance() {
        mFleet = new PlatformFleet("mtl");
        mFleet.writeConfiguration(true);
        mFleet.startReplica("desk-mtl-1", PlatformFleet.BOOKING_SERVICE, "mtl", 16);
        mFleet.startGateway("mtl-1", "mtl");
        mCallerAddress = mFleet.settings("mtl-1").callerAddress();
    }

    @AfterMethod(alwaysRun = true)
    public void closeFleet() {
        mFleet.close();
    }

    private Socket connect() throws IOException {
        return new Socket(mCallerAddress.host(), mCallerAddress.port());
    }

    private void shutDown() throws Exception {
        mFleet.shutDownGateway("mtl-1").get(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @Test
    public void stoppedInstanceAcceptsAConnection() throws Exception {
        connect().close();
        shutDown();

        assertThrows(ConnectException.class, this::connect);
    }

    @Test
    public void stoppedInstanceKeepsAnIdleConnectionOpen() throws Exception {
        try (Socket idle = connect()) {
            shutDown();

            idle.setSoTimeout((int) STOP_TIMEOUT_MS);
            assertEquals(idle.getInputStream().read(), -1);
        }
    }
}
