package org.filbertrudder.gateway.traffic;

import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Removes header fields that cannot be passed on, which the decoder of responses accepts. */
final class MalformedHeaders {

    /** What the validation returns instead of the index of a character that is not allowed. */
    private static final int VALID = -1;

    private MalformedHeaders() {}

    /** Removes the malformed fields and returns their names. */
    static Set<String> remove(HttpHeaders headers) {
        Set<String> malformed =
                headers.entries().stream()
                        .filter(header -> !isValid(header))
                        .map(Map.Entry::getKey)
                        .collect(Collectors.toSet());
        malformed.forEach(headers::remove);
        return malformed;
    }

    private static boolean isValid(Map.Entry<String, String> header) {
        return HttpHeaderValidationUtil.validateToken(header.getKey()) == VALID
                && HttpHeaderValidationUtil.validateValidHeaderValue(header.getValue()) == VALID;
    }
}
