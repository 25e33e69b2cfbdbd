package org.filbertrudder.entry.traffic;

import io.vertx.core.MultiMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Selects the headers of a caller's request that are sent to an endpoint. */
final class HeaderFilter {

    private static final String HOST_HEADER = "host";
    private static final Set<String> CREDENTIAL_HEADERS =
            Set.of(
                    "authorization",
                    "proxy-authorization",
                    "cookie",
                    "x-api-key",
                    "api-key",
                    "x-auth-token");
    private static final Set<String> GATEWAY_HEADERS =
            Set.of(
                    Exchange.REQUEST_ID_HEADER,
                    "x-client-account",
                    "x-deadline-ms",
                    "x-priority",
                    "x-resume-offset");

    private HeaderFilter() {}

    /** Returns the headers to send; a header whose value contains the secret is dropped. */
    static Map<String, String> apply(MultiMap headers, String secret) {
        Map<String, String> selected = new LinkedHashMap<>();
        headers.forEach(
                (name, value) -> {
                    String lowerCaseName = name.toLowerCase(Locale.ROOT);
                    boolean containsSecret = secret != null && value.contains(secret);
                    boolean dropped =
                            HopByHopHeaders.contains(lowerCaseName)
                                    || HOST_HEADER.equals(lowerCaseName)
                                    || CREDENTIAL_HEADERS.contains(lowerCaseName)
                                    || GATEWAY_HEADERS.contains(lowerCaseName);
                    if (!dropped && !containsSecret) {
                        selected.merge(
                                lowerCaseName, value, (first, second) -> first + ", " + second);
                    }
                });
        return selected;
    }
}
