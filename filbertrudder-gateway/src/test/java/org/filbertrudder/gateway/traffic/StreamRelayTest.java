package org.filbertrudder.gateway.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that streams are relayed by complete events and can resume after an interruption at any
 * byte.
 */
public class StreamRelayTest {

    private static final int EVENTS = 6;

    private static String event(int id) {
        return "id: " + id + "\ndata: piece " + id + "\n\n";
    }

    private static String events(int from, int to) {
        StringBuilder text = new StringBuilder();
        for (int id = from; id <= to; id++) {
            text.append(event(id));
        }
        return text.toString();
    }

    /** Provides every byte offset at which a stream may be interrupted. */
    @DataProvider
    public Object[][] breakOffsets() {
        int length = events(1, EVENTS).length();
        Object[][] rows = new Object[length][];
        for (int i = 0; i < length; i++) {
            rows[i] = new Object[] {i};
        }
        return rows;
    }

    @Test(dataProvider = "breakOffsets")
    public void interruptedStreamResumesWithoutGapOrDuplicate(int breakOffset) {
        RecordingSink sink = new RecordingSink();
        StreamRelay relay = new StreamRelay(sink, 0);
        assertTrue(relay.receive(Buffer.buffer(events(1, EVENTS).substring(0, breakOffset))));

        relay.restart();
        int next = (int) relay.lastId() + 1;
        assertTrue(relay.receive(Buffer.buffer(events(next, EVENTS))));

        assertEquals(sink.mText.toString(), events(1, EVENTS));
        assertTrue(relay.isAtEventBoundary());
    }

    @Test(dataProvider = "breakOffsets")
    public void relayedStreamIsIndependentOfChunkBoundaries(int splitOffset) {
        RecordingSink sink = new RecordingSink();
        StreamRelay relay = new StreamRelay(sink, 0);
        String whole = events(1, EVENTS);

        assertTrue(relay.receive(Buffer.buffer(whole.substring(0, splitOffset))));
        assertTrue(relay.receive(Buffer.buffer(whole.substring(splitOffset))));

        assertEquals(sink.mText.toString(), whole);
        assertEquals(relay.events(), EVENTS);
    }

    @Test
    public void dropsEventsRepeatedByResumedRun() {
        RecordingSink sink = new RecordingSink();
        StreamRelay relay = new StreamRelay(sink, 0);
        relay.receive(Buffer.buffer(events(1, 3)));
        relay.restart();

        assertTrue(relay.receive(Buffer.buffer(events(2, EVENTS))));
        assertEquals(sink.mText.toString(), events(1, EVENTS));
    }

    @Test
    public void rejectsDecreasingIdsWithinOneRun() {
        StreamRelay relay = new StreamRelay(new RecordingSink(), 0);
        relay.receive(Buffer.buffer(events(1, 3)));

        assertFalse(relay.receive(Buffer.buffer(event(2))));
    }

    @Test
    public void partialEventIsNotAtEventBoundary() {
        StreamRelay relay = new StreamRelay(new RecordingSink(), 0);
        relay.receive(Buffer.buffer("id: 1\ndata: pie"));

        assertFalse(relay.isAtEventBoundary());
    }

    /** Guards against an instance that is busy with copies of events that come in short pieces. */
    @Test(timeOut = 10_000)
    public void longEventsInShortPiecesOccupyTheInstance() {
        Buffer piece = Buffer.buffer("x");
        for (int stream = 0; stream < 32; stream++) {
            StreamRelay relay = new StreamRelay(new RecordingSink(), 0);
            while (relay.receive(piece)) {
                assertFalse(relay.isAtEventBoundary());
            }
        }
    }

    @Test
    public void acceptsCrLfLineEndings() {
        RecordingSink sink = new RecordingSink();
        StreamRelay relay = new StreamRelay(sink, 0);
        relay.receive(Buffer.buffer("id: 7\r\ndata: x\r\n\r\n"));

        assertEquals(relay.lastId(), 7);
        assertEquals(sink.mText.length(), "id: 7\r\ndata: x\r\n\r\n".length());
    }

    /** Collects the written text. */
    private static final class RecordingSink implements GatewayResponseSink {

        private final StringBuilder mText = new StringBuilder();

        @Override
        public void sendHead(int status, Map<String, String> headers) {}

        @Override
        public boolean headSent() {
            return true;
        }

        @Override
        public void write(Buffer data) {
            mText.append(data);
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

        @Override
        public void refuse(GatewayRefusal refusal) {}
    }
}
