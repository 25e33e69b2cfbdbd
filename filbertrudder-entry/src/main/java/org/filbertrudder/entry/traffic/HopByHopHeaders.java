package org.filbertrudder.entry.traffic;

import java.util.Set;

/** HTTP headers that apply to a single connection and must not be forwarded by a proxy. */
public final class HopByHopHeaders {

    private static final Set<String> NAMES =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "transfer-encoding",
                    "content-length",
                    "te",
                    "trailer",
                    "upgrade",
                    "expect");

    private HopByHopHeaders() {}

    /** Returns whether the header of this name, in lower case, is a hop-by-hop header. */
    public static boolean contains(String lowerCaseName) {
        return NAMES.contains(lowerCaseName);
    }
}
