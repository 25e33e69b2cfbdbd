package org.filbertrudder.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.OptionalLong;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Reads the stream of a forwarded request whose message has invalid fields. */
final class UnreadableForward {

    private static final ObjectMapper MESSAGE_PACK = new ObjectMapper(new MessagePackFactory());
    private static final String TYPE_FIELD = "t";
    private static final String FORWARD_START = "fs";
    private static final String STREAM_FIELD = "stream";

    private UnreadableForward() {}

    /** Returns the stream; empty if the frame body does not start a forwarded request. */
    static OptionalLong streamIn(byte[] body) {
        try {
            MessageCodec.requireWhole(body);
            JsonNode message = MESSAGE_PACK.readTree(body);
            JsonNode stream = message.path(STREAM_FIELD);
            return message.path(TYPE_FIELD).asText().equals(FORWARD_START)
                            && stream.isIntegralNumber()
                    ? OptionalLong.of(stream.asLong())
                    : OptionalLong.empty();
        } catch (IOException | RuntimeException e) {
            return OptionalLong.empty();
        }
    }
}
