package org.filbertrudder.peer;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import org.filbertrudder.model.message.PeerMessage;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes peer messages as frames: a four-byte length followed by a MessagePack body.
 *
 * <p>Messages of frequent types are written and read field by field, because an instance runs for
 * too short a time to compile the code of the data binding. All other messages, and frames of other
 * releases, use data binding, which defines the format.
 */
public final class MessageCodec {

    /** The maximum length of an accepted frame body, in bytes. */
    public static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

    /** The length of the frame header, in bytes. */
    public static final int HEADER_BYTES = 4;

    private MessageCodec() {}

    /** Returns the frame that contains the message. */
    public static Buffer encode(PeerMessage message) {
        try {
            byte[] frame = MessageWriter.write(message);
            if (frame != null) {
                return Buffer.buffer(frame);
            }
            byte[] body =
                    DataBinding.MAPPER.writerFor(PeerMessage.class).writeValueAsBytes(message);
            return Buffer.buffer(HEADER_BYTES + body.length)
                    .appendInt(body.length)
                    .appendBytes(body);
        } catch (IOException | RuntimeException e) {
            throw new IllegalStateException("The message cannot be encoded: " + message, e);
        }
    }

    /**
     * Returns the message in a frame body; ignores unknown fields, which newer releases may add.
     *
     * @throws MalformedFrameException if the bytes are not a message of a known type
     */
    public static PeerMessage decode(Buffer body) {
        return decode(body.getBytes());
    }

    /** Returns the message in a frame body like {@link #decode(Buffer)}. */
    static PeerMessage decode(byte[] bytes) {
        PeerMessage frequent = MessageReader.read(bytes);
        if (frequent != null) {
            return frequent;
        }
        try {
            requireWhole(bytes);
            PeerMessage message = DataBinding.MAPPER.readValue(bytes, PeerMessage.class);
            if (message == null) {
                throw new MalformedFrameException("a frame without a message", null);
            }
            return message;
        } catch (IOException | RuntimeException e) {
            throw new MalformedFrameException("a frame that is not a message of a known type", e);
        }
    }

    /** Fails if a value ends after the frame; data binding would first allocate its length. */
    static void requireWhole(byte[] body) throws IOException {
        MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body);
        for (long values = 1; values > 0; values--) {
            switch (unpacker.getNextFormat().getValueType()) {
                case ARRAY -> values += unpacker.unpackArrayHeader();
                case MAP -> values += 2L * unpacker.unpackMapHeader();
                default -> unpacker.skipValue();
            }
        }
    }

    /** Holds the mapper, which is created when the first message needs it. */
    private static final class DataBinding {

        static final ObjectMapper MAPPER =
                new ObjectMapper(new MessagePackFactory())
                        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    }
}
