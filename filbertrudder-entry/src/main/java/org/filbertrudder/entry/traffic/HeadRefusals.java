package org.filbertrudder.entry.traffic;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Formats the refusals of heads that do not reach the HTTP server. */
public interface HeadRefusals {

    /** Returns the response for a head over the limit of bytes, as it is sent. */
    String tooLong();

    /** Returns the response for a head for which there is no memory now, as it is sent. */
    String overloaded();

    /** Counts a head that was refused or whose connection was closed. */
    void refused(HeadBudget.Decision reason);

    /** Formats a response after which the connection is closed. */
    static String format(int status, Map<String, String> headers, String body) {
        StringBuilder text = new StringBuilder("HTTP/1.1 ");
        text.append(HttpResponseStatus.valueOf(status)).append("\r\nconnection: close\r\n");
        headers.forEach(
                (name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        int bodyBytes = body.getBytes(StandardCharsets.UTF_8).length;
        return text.append("content-type: application/json\r\ncontent-length: ")
                .append(bodyBytes)
                .append("\r\n\r\n")
                .append(body)
                .toString();
    }
}
