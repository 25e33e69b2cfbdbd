package org.filbertrudder.scenarios.platform;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Collects the bytes of HTTP requests that follow each other on a connection. */
final class RawRequestReader {

    private static final Pattern REQUEST_ID =
            Pattern.compile("Filbertrudder-Attempt-Id: *(\\S+)", Pattern.CASE_INSENSITIVE);
    private static final Pattern CONTENT_LENGTH =
            Pattern.compile("content-length: *(\\d+)", Pattern.CASE_INSENSITIVE);
    private static final String HEAD_END = "\r\n\r\n";

    private Buffer mReceived = Buffer.buffer();

    /** Adds received bytes; returns the request if it is complete now. */
    Optional<String> add(Buffer bytes) {
        mReceived.appendBuffer(bytes);
        String text = mReceived.toString();
        int headEnd = text.indexOf(HEAD_END);
        Matcher length = CONTENT_LENGTH.matcher(text);
        int bodyLength = length.find() ? Integer.parseInt(length.group(1)) : 0;
        if (headEnd < 0 || text.length() < headEnd + HEAD_END.length() + bodyLength) {
            return Optional.empty();
        }
        mReceived = Buffer.buffer();
        return Optional.of(text);
    }

    /** Returns the id of a request, if it has one. */
    static Optional<String> requestId(String request) {
        Matcher id = REQUEST_ID.matcher(request);
        return id.find() ? Optional.of(id.group(1)) : Optional.empty();
    }
}
