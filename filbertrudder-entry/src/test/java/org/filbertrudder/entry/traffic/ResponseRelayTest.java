package org.filbertrudder.entry.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which responses may continue a broken stream, and how long events may be. */
public class ResponseRelayTest {

    private static final String TYPE = "content-type";
    private static final String STREAM = "text/event-stream";
    private static final String OFFSET = Exchange.RESUME_OFFSET_HEADER;

    /** Guards against an instance that runs out of memory as it waits for the end of an event. */
    @Test
    public void endlessEventIsKeptInMemory() {
        ResponseRelay relay =
                new ResponseRelay(new Exchange(TestRequests.get("r1"), new Sink(), 0), () -> {});
        relay.head(200, Map.of(TYPE, STREAM));
        Buffer data = Buffer.buffer("data: x".repeat(1_000));

        long received = 0;
        while (relay.data(data) && received < 64L * ResponseRelay.MAX_EVENT_BYTES) {
            received += data.length();
        }

        assertTrue(received <= ResponseRelay.MAX_EVENT_BYTES, "bytes kept: " + received);
    }

    @Test
    public void longEventsAreRelayedWhole() {
        Sink sink = new Sink();
        ResponseRelay relay =
                new ResponseRelay(new Exchange(TestRequests.get("r1"), sink, 0), () -> {});
        relay.head(200, Map.of(TYPE, STREAM));
        String event = "data: " + "x".repeat(ResponseRelay.MAX_EVENT_BYTES - 100) + "\n\n";

        assertTrue(relay.data(Buffer.buffer(event + event)));

        assertEquals(sink.mBytes, 2L * event.length());
        assertEquals(relay.eventsSent(), 2);
    }

    /** Counts the bytes that it gets. */
    private static final class Sink implements ResponseSink {

        private long mBytes;
        private boolean mHeadSent;

        @Override
        public void sendHead(int status, Map<String, String> headers) {
            mHeadSent = true;
        }

        @Override
        public boolean headSent() {
            return mHeadSent;
        }

        @Override
        public void write(Buffer data) {
            mBytes += data.length();
        }

        @Override
        public boolean writeQueueFull() {
            return false;
        }

        @Override
        public void onDrain(Runnable action) {}

        @Override
        public void end() {}

        @Override
        public void abort() {}
    }

    /** Lists the status and headers of responses, and whether they continue after 3 events. */
    @DataProvider
    public Object[][] responses() {
        return new Object[][] {
            {200, Map.of(TYPE, STREAM, OFFSET, "3"), true},
            {200, Map.of(TYPE, STREAM + "; charset=utf-8", OFFSET, "3"), true},
            {200, Map.of(TYPE, STREAM, OFFSET, "2"), false},
            {200, Map.of(TYPE, STREAM), false},
            {200, Map.of(TYPE, "text/html", OFFSET, "3"), false},
            {200, Map.of(OFFSET, "3"), false},
            {302, Map.of(TYPE, STREAM, OFFSET, "3"), false},
            {500, Map.of(TYPE, STREAM, OFFSET, "3"), false},
            {503, Map.of(TYPE, "application/json"), false},
        };
    }

    @Test(dataProvider = "responses")
    public void errorTextFollowsTheEventsOfABrokenStream(
            int status, Map<String, String> headers, boolean continues) {
        assertEquals(ResponseRelay.continuesAfter(3, status, headers), continues);
    }
}
