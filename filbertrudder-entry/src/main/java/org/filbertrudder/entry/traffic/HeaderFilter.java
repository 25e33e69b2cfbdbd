package org.filbertrudder.entry.traffic;

import io.vertx.core.MultiMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Chooses the headers of a caller's request that may reach an endpoint. */
final class HeaderFilter {

    private static final String HOST = "host";
    private static final Set<String> CREDENTIALS =
            Set.of(
                    "authorization",
                    "proxy-authorization",
                    "cookie",
                    "x-api-key",
                    "api-key",
                    "x-auth-token");
    private static final Set<String> OWN =
            Set.of(
                    Exchange.REQUEST_ID_HEADER,
                    "x-client-account",
                    "x-deadline-ms",
                    "x-priority",
                    "x-resume-offset");

    private HeaderFilter() {}

    /** Returns the headers to pass on; none of them contains the caller's secret. */
    static Map<String, String> apply(MultiMap headers, String secret) {
        Map<String, String> passed = new LinkedHashMap<>();
        headers.forEach(
                (name, value) -> {
                    String lower = name.toLowerCase(Locale.ROOT);
                    boolean leaks = secret != null && value.contains(secret);
                    boolean dropped =
                            HopByHopHeaders.contains(lower)
                                    || HOST.equals(lower)
                                    || CREDENTIALS.contains(lower)
                                    || OWN.contains(lower);
                    if (!dropped && !leaks) {
                        passed.merge(lower, value, (first, second) -> first + ", " + second);
                    }
                });
        return passed;
    }
}
