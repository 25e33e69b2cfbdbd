package org.filbertrudder.entry.traffic;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which responses may follow the events of a stream that has broken off. */
public class ResponseRelayTest {

    private static final String TYPE = "content-type";
    private static final String STREAM = "text/event-stream";
    private static final String OFFSET = Exchange.RESUME_OFFSET_HEADER;

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
