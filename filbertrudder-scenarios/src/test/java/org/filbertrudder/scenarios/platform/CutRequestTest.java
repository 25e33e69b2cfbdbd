package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.standins.platform.ReplicaStandIn;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a request whose caller breaks off at any byte reaches no replica. */
public class CutRequestTest {

    private static final String BODY = "the whole body";
    private static final String LENGTH = "Content-Length: 14\r\n\r\n" + BODY;
    private static final String CHUNKS =
            "Transfer-Encoding: chunked\r\n\r\n"
                    + "a;x=1\r\nthe whole \r\n4\r\nbody\r\n0\r\nafter: x\r\n\r\n";

    private PlatformFleet mFleet;

    @BeforeClass
    public void startFleet() {
        mFleet = new PlatformFleet("mtl");
        mFleet.writeConfiguration(true);
        mFleet.startReplica("desk-1", PlatformFleet.BOOKING_SERVICE, "mtl", 64);
        mFleet.startGateway("mtl-1", "mtl");
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
    }

    /** Lists the framing of a body, and whether the caller resets the connection. */
    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {"length", LENGTH, false},
            {"length", LENGTH, true},
            {"chunks", CHUNKS, false},
            {"chunks", CHUNKS, true},
        };
    }

    @Test(dataProvider = "requests")
    public void cutRequestReachesAReplica(String framing, String body, boolean reset) {
        String prefix = framing + (reset ? "-reset" : "-close");
        String template = "POST /book/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer key-club\r\n";
        String head = template.formatted(PlatformFleet.HOST);
        String idHeader = "Filbertrudder-Attempt-Id: %s-%04d\r\n";
        int length = (head + idHeader.formatted(prefix, 0) + body).length();

        for (int i = 0; i < length; i++) {
            String request = head + idHeader.formatted(prefix, i) + body;
            sendAndClose(request.substring(0, i), reset);
        }

        // The instance has read the cut requests once it has served one that came after them.
        String id = prefix + "-whole";
        assertEquals(
                mFleet.callerClient("mtl-1").sendPlain(id, "POST", "/book/x", "key-club").status(),
                200);
        List<String> executed =
                mFleet.replica("desk-1").executedRequests().stream()
                        .map(ReplicaStandIn.ExecutedRequest::requestId)
                        .filter(each -> each.startsWith(prefix))
                        .toList();
        assertEquals(executed, List.of(id));
    }

    private void sendAndClose(String bytes, boolean reset) {
        PeerAddress address = mFleet.settings("mtl-1").callerAddress();
        try (Socket socket = new Socket(address.host(), address.port())) {
            if (reset) {
                // Without lingering, a close resets the connection.
                socket.setSoLinger(true, 0);
            }
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
            if (!reset) {
                socket.shutdownOutput();
                socket.getInputStream().readAllBytes();
            }
        } catch (IOException e) {
            throw new AssertionError("The request could not be sent: " + bytes, e);
        }
    }
}
