package org.filbertrudder.entry.traffic;

import java.util.Set;

/** Names the HTTP headers that concern one connection only and are never passed on. */
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

    /** Returns whether the header of this name, in lower case, concerns one connection only. */
    public static boolean contains(String lowerCaseName) {
        return NAMES.contains(lowerCaseName);
    }
}
