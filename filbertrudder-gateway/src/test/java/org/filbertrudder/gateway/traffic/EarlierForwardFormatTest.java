package org.filbertrudder.gateway.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertThrows;

import java.util.Map;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.ForwardRecords;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ProtocolVersions;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what instances of this release and of the release before read in each other's messages. */
public class EarlierForwardFormatTest {

    private static final int EARLIER_VERSION = ProtocolVersions.SEPARATE_FORWARD_FIELDS - 1;
    private static final ForwardRecords.Refusal REFUSAL =
            new ForwardRecords.Refusal("stopping", true, 500);

    private final EarlierForwardFormat mFormat = new EarlierForwardFormat();

    private static PeerMessage.ForwardStart start(
            Map<String, String> headers, ServiceId service, Long resumeAfter) {
        return new PeerMessage.ForwardStart(
                1,
                "id",
                null,
                null,
                1,
                null,
                "POST",
                "/",
                headers,
                new byte[0],
                1_000,
                service,
                resumeAfter);
    }

    /** Guards against an earlier release that takes a caller's header for its sender's word. */
    @Test
    public void callerHeadersReachAnEarlierReceiverAsTheSendersOwn() {
        Map<String, String> headers = Map.of("x-resume-after", "3", "x-forward-service", "other");

        PeerMessage.ForwardStart sent =
                mFormat.toReceiver(start(headers, ServiceId.of("pool"), null), EARLIER_VERSION);

        assertEquals(sent.headers(), Map.of("x-forward-service", "pool"));
    }

    @Test
    public void positionAndServiceReachAnEarlierReceiver() {
        PeerMessage.ForwardStart sent =
                mFormat.toReceiver(
                        start(Map.of("a", "b"), ServiceId.of("pool"), 7L), EARLIER_VERSION);

        Map<String, String> expected =
                Map.of("a", "b", "x-resume-after", "7", "x-forward-service", "pool");
        assertEquals(sent.headers(), expected);
        assertEquals(EarlierForwardFormat.readStart(sent, true).resumeAfter(), 7);
        assertEquals(EarlierForwardFormat.readStart(sent, true).headers(), Map.of("a", "b"));
    }

    @Test
    public void receiverOfThisReleaseGetsTheMessageAsItIs() {
        PeerMessage.ForwardStart start = start(Map.of("x-resume-after", "3"), null, 7L);

        assertSame(mFormat.toReceiver(start, ProtocolVersions.NEWEST_SUPPORTED), start);
    }

    @Test
    public void refusalOfAnEarlierReceiverIsRead() {
        PeerMessage.ForwardHead head =
                new PeerMessage.ForwardHead(
                        1, 503, EarlierForwardFormat.writeRefusal(REFUSAL), null);

        assertEquals(mFormat.fromReceiver(head, EARLIER_VERSION).refusal(), REFUSAL);
    }

    /** Lists headers of endpoints that an earlier receiver passes on. */
    @DataProvider
    public Object[][] endpointHeaders() {
        return new Object[][] {
            {Map.of("x-not-run", "0", "content-type", "a")},
            {Map.of("x-not-run", "1")},
            {Map.of("x-own-answer", "a", "x-retry-after-ms", "5", "server", "b")},
        };
    }

    /** Guards against bookings that run twice because an endpoint's header reads as a refusal. */
    @Test(dataProvider = "endpointHeaders")
    public void endpointHeadersOfAnEarlierReceiverAreReadAsARefusal(Map<String, String> headers) {
        PeerMessage.ForwardHead head = new PeerMessage.ForwardHead(1, 200, headers, null);

        assertNull(mFormat.fromReceiver(head, EARLIER_VERSION).refusal());
        assertEquals(mFormat.fromReceiver(head, EARLIER_VERSION).headers(), headers);
    }

    /** Guards against endpoint headers that a receiver of this release could forge a refusal by. */
    @Test
    public void headersOfAReceiverOfThisReleaseAreReadAsARefusal() {
        PeerMessage.ForwardHead head =
                new PeerMessage.ForwardHead(
                        1, 200, EarlierForwardFormat.writeRefusal(REFUSAL), null);

        assertSame(mFormat.fromReceiver(head, ProtocolVersions.NEWEST_SUPPORTED), head);
    }

    @Test
    public void invalidServiceOfAnEarlierSenderIsMalformed() {
        PeerMessage.ForwardStart start = start(Map.of("x-forward-service", "a b"), null, null);

        assertThrows(
                MalformedRequestException.class,
                () -> EarlierForwardFormat.readStart(start, false));
    }
}
