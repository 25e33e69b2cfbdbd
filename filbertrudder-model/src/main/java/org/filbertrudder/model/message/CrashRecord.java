package org.filbertrudder.model.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.EndpointId;

/**
 * Describes the crashes of endpoints during which a request ran.
 *
 * @param account the client account of the request
 * @param bodySha256 the SHA-256 digest of the request's content, in hexadecimal
 * @param crashes the crashes that count
 * @param cleared crashes that no longer count, as the request has been answered since
 * @param ranAlone whether an endpoint crashed that executed no other request
 * @param ageMs the time since the last crash was recorded, in milliseconds
 * @param answeredAgeMs the time since the request was answered, in milliseconds; negative if it was
 *     not
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({
    "account",
    "bodySha256",
    "crashes",
    "cleared",
    "ranAlone",
    "ageMs",
    "answeredAgeMs"
})
public record CrashRecord(
        AccountId account,
        String bodySha256,
        List<Crash> crashes,
        List<Crash> cleared,
        boolean ranAlone,
        long ageMs,
        long answeredAgeMs) {

    /** Replaces missing lists by empty ones. */
    public CrashRecord {
        crashes = crashes == null ? List.of() : crashes;
        cleared = cleared == null ? List.of() : cleared;
    }

    /**
     * Identifies a crash of an endpoint.
     *
     * @param endpoint the endpoint
     * @param atMs when the crash was detected, in milliseconds since the epoch
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"endpoint", "atMs"})
    public record Crash(EndpointId endpoint, long atMs) {

        private static final long SAME_CRASH_WINDOW_MS = 3_000;

        /** Returns whether two instances may have detected one crash. */
        public boolean isSameAs(Crash other) {
            return endpoint.equals(other.endpoint())
                    && Math.abs(atMs - other.atMs()) < SAME_CRASH_WINDOW_MS;
        }
    }
}
