package org.filbertrudder.peer;

import io.vertx.core.buffer.Buffer;

/** Splits the bytes received on a connection into frames. */
final class FrameSplitter {

    /** The received bytes that are not consumed, from a position; null if there are none. */
    private Buffer mReceived;

    private int mPosition;

    /** Adds received bytes, which the splitter may append to. */
    void add(Buffer bytes) {
        if (mReceived == null) {
            mReceived = bytes;
            return;
        }
        if (mPosition > 0) {
            mReceived = mReceived.getBuffer(mPosition, mReceived.length());
            mPosition = 0;
        }
        mReceived.appendBuffer(bytes);
    }

    /**
     * Returns the body of the next frame; null if it has not arrived completely.
     *
     * @throws MalformedFrameException if the length of the frame is not allowed
     */
    byte[] next() {
        if (mReceived == null) {
            return null;
        }
        int bodyPosition = mPosition + MessageCodec.HEADER_BYTES;
        if (bodyPosition > mReceived.length()) {
            return null;
        }
        int length = mReceived.getInt(mPosition);
        if (length <= 0 || length > MessageCodec.MAX_FRAME_BYTES) {
            throw new MalformedFrameException(
                    "a frame with a length of " + length + " bytes", null);
        }
        if (length > mReceived.length() - bodyPosition) {
            return null;
        }
        mPosition = bodyPosition + length;
        byte[] body = mReceived.getBytes(bodyPosition, mPosition);
        if (mPosition == mReceived.length()) {
            mReceived = null;
            mPosition = 0;
        }
        return body;
    }
}
