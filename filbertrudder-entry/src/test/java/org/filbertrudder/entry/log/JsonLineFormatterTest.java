package org.filbertrudder.entry.log;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.filbertrudder.model.Json;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that log lines are the JSON that a document tree of their fields would be written as. */
public class JsonLineFormatterTest {

    private static final Instant TIME = Instant.parse("2026-12-05T09:11:28.123456Z");

    /** Lists values of a field. */
    @DataProvider
    public Object[][] values() {
        return new Object[][] {
            {"plain"},
            {""},
            {"\"quoted\" \\ and / slashes"},
            {"line\r\nbreak\tand \u0001 \u007f"},
            {"umlauts \u00e4, \u2028 and \ud83d\ude00"},
            {42L},
            {0.25},
            {null},
        };
    }

    @Test(dataProvider = "values")
    public void lineIsWrittenLikeADocumentTree(Object value) {
        LogRecord record = new LogRecord(Level.WARNING, "test: A \"message\".");
        record.setInstant(TIME);
        record.setParameters(new Object[] {LogField.of("value", value), "no field"});
        ObjectNode expected =
                Json.MAPPER
                        .createObjectNode()
                        .put("time", TIME.toString())
                        .put("level", "WARNING")
                        .put("message", "test: A \"message\".")
                        .put("value", String.valueOf(value));
        assertEquals(new JsonLineFormatter().format(record), expected + "\n");
    }

    @Test
    public void lineOfAnExceptionNamesIt() {
        LogRecord record = new LogRecord(Level.SEVERE, null);
        record.setInstant(TIME);
        record.setThrown(new IllegalStateException("broken"));
        ObjectNode expected =
                Json.MAPPER
                        .createObjectNode()
                        .put("time", TIME.toString())
                        .put("level", "SEVERE")
                        .put("message", (String) null)
                        .put("error", "java.lang.IllegalStateException: broken");
        assertEquals(new JsonLineFormatter().format(record), expected + "\n");
    }
}
