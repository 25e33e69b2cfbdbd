package org.filbertrudder.gateway.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.Map;

/**
 * Holds a complete response of an endpoint.
 *
 * @param head the head of the response
 * @param body the body
 */
record BufferedResponse(ResponseHead head, Buffer body) {

    /** Sends the response with the length of the buffered body. */
    void sendTo(GatewayResponseSink sink) {
        Map<String, String> headers = head.passedHeaders();
        headers.put("content-length", Integer.toString(body.length()));
        sink.sendHead(head.status(), headers);
        sink.write(body);
        sink.end();
    }
}
