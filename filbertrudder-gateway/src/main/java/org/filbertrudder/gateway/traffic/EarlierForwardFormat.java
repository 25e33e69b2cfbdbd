package org.filbertrudder.gateway.traffic;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.model.InvalidValueException;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.ForwardRecords;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ProtocolVersions;
import org.filbertrudder.peer.forwarding.ForwardTranslation;

/**
 * Exchanges forwarded requests with instances of earlier releases, which send what they state about
 * a request among the headers of the caller, and a refusal as the headers of a response.
 */
final class EarlierForwardFormat implements ForwardTranslation {

    /** The header with the id of the last event that the caller received of this response. */
    private static final String RESUME_AFTER = "x-resume-after";

    /** The header with the service that the sender's configuration has chosen. */
    private static final String SERVICE = "x-forward-service";

    private static final String REFUSAL_CODE = "x-own-answer";
    private static final String NOT_RUN = "x-not-run";
    private static final String RETRY_AFTER_MS = "x-retry-after-ms";
    private static final Set<String> REFUSAL_HEADERS =
            Set.of(REFUSAL_CODE, NOT_RUN, RETRY_AFTER_MS);

    /** Returns whether an instance with a protocol version uses this format. */
    static boolean isUsedBy(int version) {
        return version < ProtocolVersions.SEPARATE_FORWARD_FIELDS;
    }

    @Override
    public PeerMessage.ForwardStart toReceiver(PeerMessage.ForwardStart start, int version) {
        if (!isUsedBy(version)) {
            return start;
        }
        Map<String, String> headers = new HashMap<>(start.headers());
        headers.remove(RESUME_AFTER);
        if (start.resumeAfter() != null) {
            headers.put(RESUME_AFTER, start.resumeAfter().toString());
        }
        headers.remove(SERVICE);
        if (start.service() != null) {
            headers.put(SERVICE, start.service().value());
        }
        return with(start, headers, null, null);
    }

    @Override
    public PeerMessage.ForwardHead fromReceiver(PeerMessage.ForwardHead head, int version) {
        Map<String, String> headers = head.headers();
        // A refusal has no other headers, while an endpoint may send these beside its own.
        boolean refused =
                isUsedBy(version)
                        && headers.containsKey(REFUSAL_CODE)
                        && headers.containsKey(RETRY_AFTER_MS)
                        && REFUSAL_HEADERS.containsAll(headers.keySet());
        if (!refused) {
            return head;
        }
        ForwardRecords.Refusal refusal =
                new ForwardRecords.Refusal(
                        headers.get(REFUSAL_CODE),
                        headers.containsKey(NOT_RUN),
                        parseRetryAfterMs(headers.get(RETRY_AFTER_MS)));
        return new PeerMessage.ForwardHead(head.stream(), head.status(), Map.of(), refusal);
    }

    private static long parseRetryAfterMs(String value) {
        return value.matches("[1-9][0-9]{0,8}") ? Long.parseLong(value) : 0;
    }

    /**
     * Returns the request of a sender that uses this format.
     *
     * @param resumable whether the route allows that a response is resumed; elsewhere the header
     *     with the position is the caller's own
     */
    static PeerMessage.ForwardStart readStart(PeerMessage.ForwardStart start, boolean resumable) {
        Map<String, String> headers = new LinkedHashMap<>(start.headers());
        Long resumeAfter = resumable ? parsePosition(headers.get(RESUME_AFTER)) : null;
        if (resumeAfter != null) {
            headers.remove(RESUME_AFTER);
        }
        return with(start, headers, parseService(headers.remove(SERVICE)), resumeAfter);
    }

    /** Returns null if the value is not a position that an instance states. */
    private static Long parsePosition(String value) {
        return value != null && value.matches("[0-9]{1,18}") ? Long.valueOf(value) : null;
    }

    private static ServiceId parseService(String name) {
        try {
            return name == null ? null : ServiceId.of(name);
        } catch (InvalidValueException e) {
            throw new MalformedRequestException("The header " + SERVICE + " is invalid.");
        }
    }

    /** Returns an endpoint's headers without those that the sender would take for a refusal. */
    static Map<String, String> writeHeaders(Map<String, String> headers) {
        Map<String, String> written = new LinkedHashMap<>(headers);
        written.keySet().removeAll(REFUSAL_HEADERS);
        return written;
    }

    /** Returns the headers that state a refusal. */
    static Map<String, String> writeRefusal(ForwardRecords.Refusal refusal) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put(REFUSAL_CODE, refusal.code());
        if (refusal.notRun()) {
            headers.put(NOT_RUN, "1");
        }
        headers.put(RETRY_AFTER_MS, Long.toString(refusal.retryAfterMs()));
        return headers;
    }

    private static PeerMessage.ForwardStart with(
            PeerMessage.ForwardStart start,
            Map<String, String> headers,
            ServiceId service,
            Long resumeAfter) {
        return new PeerMessage.ForwardStart(
                start.stream(),
                start.requestId(),
                start.account(),
                start.key(),
                start.revision(),
                start.origin(),
                start.method(),
                start.uri(),
                headers,
                start.body(),
                start.deadlineMs(),
                service,
                resumeAfter);
    }
}
