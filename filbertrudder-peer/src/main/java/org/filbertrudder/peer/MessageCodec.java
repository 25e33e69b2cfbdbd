package org.filbertrudder.peer;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import org.filbertrudder.model.message.PeerMessage;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes messages as frames: a length of four bytes, then MessagePack. */
public final class MessageCodec {

    /** The longest frame that is accepted, in bytes. */
    public static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

    /** The length of a frame's header, in bytes. */
    public static final int HEADER_BYTES = 4;

    private static final ObjectMapper MAPPER =
            new ObjectMapper(new MessagePackFactory())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private MessageCodec() {}

    /** Returns the frame of a message. */
    public static Buffer encode(PeerMessage message) {
        try {
            byte[] body = MAPPER.writerFor(PeerMessage.class).writeValueAsBytes(message);
            return Buffer.buffer(HEADER_BYTES + body.length)
                    .appendInt(body.length)
                    .appendBytes(body);
        } catch (IOException e) {
            throw new IllegalStateException("The message has no binary form: " + message, e);
        }
    }

    /**
     * Returns the message in a frame's body.
     *
     * @throws MalformedFrameException if the bytes are not a message of a known kind
     */
    public static PeerMessage decode(Buffer body) {
        try {
            PeerMessage message = MAPPER.readValue(body.getBytes(), PeerMessage.class);
            if (message == null) {
                throw new MalformedFrameException("The frame is empty.", null);
            }
            return message;
        } catch (IOException | RuntimeException e) {
            throw new MalformedFrameException("The frame holds no message of this version.", e);
        }
    }
}
