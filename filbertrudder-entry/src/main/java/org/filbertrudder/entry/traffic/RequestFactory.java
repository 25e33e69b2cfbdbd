package org.filbertrudder.entry.traffic;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.Digests;
import org.filbertrudder.model.Json;
import org.filbertrudder.model.KeyId;
import org.filbertrudder.model.Rules;
import org.filbertrudder.model.Service;
import org.filbertrudder.model.ServiceKind;
import org.filbertrudder.model.message.PeerMessage;

/** Checks callers' requests and turns them into a common form. */
final class RequestFactory {

    /** Stands for all callers of open routes in the queues. */
    static final AccountId OPEN_ACCOUNT = AccountId.of("open");

    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int TOKENS_PER_MESSAGE = 4;
    private static final int AFFINITY_CHARACTERS = 256;
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");
    private static final ObjectReader STRICT =
            Json.MAPPER.reader().with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private final TrafficContext mContext;

    RequestFactory(TrafficContext context) {
        mContext = context;
    }

    /**
     * Checks a request to a model.
     *
     * @throws RefusedException if the request cannot be served as it is
     */
    Exchange.Incoming model(
            String requestId,
            KeyCheck.Identity identity,
            String uri,
            MultiMap headers,
            Buffer body) {
        requireJson(headers);
        ObjectNode json = parse(body);
        Configuration configuration = mContext.snapshot().configuration();
        Service service = service(json, configuration);
        long promptTokens = promptTokens(json);
        long outputTokens = outputTokens(json, configuration.rules());
        boolean streamed = json.path("stream").asBoolean(false);
        Buffer sent = Buffer.buffer(json.toString());
        requireNoSecret(identity, uri, sent);
        return new Exchange.Incoming(
                requestId,
                identity.account().id(),
                identity.key(),
                service,
                "POST",
                uri,
                HeaderFilter.apply(headers, identity.secret()),
                sent,
                streamed,
                promptTokens,
                promptTokens + outputTokens,
                affinityKey(json),
                true,
                false,
                deadlineMs());
    }

    private static void requireJson(MultiMap headers) {
        String type = headers.get("content-type");
        if (type == null || !type.toLowerCase(Locale.ROOT).contains("json")) {
            throw new RefusedException(
                    Refusal.of(
                            415,
                            "wrong_content_type",
                            "Send the body with 'Content-Type: application/json'."));
        }
    }

    private static ObjectNode parse(Buffer body) {
        try {
            JsonNode json = STRICT.readTree(body.getBytes());
            if (json instanceof ObjectNode object) {
                return object;
            }
        } catch (IOException e) {
            throw new RefusedException(
                    Refusal.badRequest(
                            "malformed_json", "The body is not JSON. Send one JSON object."));
        }
        throw new RefusedException(
                Refusal.badRequest("malformed_json", "The body must be one JSON object."));
    }

    private static Service service(ObjectNode json, Configuration configuration) {
        String model = json.path("model").asText("");
        return configuration
                .serviceForModel(model)
                .orElseThrow(
                        () ->
                                new RefusedException(
                                        Refusal.of(
                                                404,
                                                "unknown_model",
                                                "No service provides this model. Use one that"
                                                        + " GET /v1/models lists.")));
    }

    private static long promptTokens(ObjectNode json) {
        JsonNode messages = json.path("messages");
        if (messages.isArray() && !messages.isEmpty()) {
            long tokens = 0;
            for (JsonNode message : messages) {
                tokens += TOKENS_PER_MESSAGE + tokensOf(message.path("content"));
            }
            return tokens;
        }
        if (json.path("prompt").isTextual()) {
            return Math.max(1, tokensOf(json.path("prompt")));
        }
        throw new RefusedException(
                Refusal.badRequest(
                        "missing_prompt", "Send 'messages' with at least one entry, or 'prompt'."));
    }

    private static long tokensOf(JsonNode content) {
        int characters =
                content.isTextual() ? content.asText().length() : content.toString().length();
        return (characters + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
    }

    /** Reads the output limit and sets it in the request, so that the endpoint keeps to it. */
    private static long outputTokens(ObjectNode json, Rules rules) {
        String field = json.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
        if (!json.has(field)) {
            json.put(field, rules.maxOutputTokens());
        }
        JsonNode limit = json.get(field);
        if (!limit.isIntegralNumber() || limit.asLong() < 1 || limit.asLong() > 1_000_000) {
            throw new RefusedException(
                    Refusal.badRequest(
                            "invalid_" + field, field + " must be a whole number from 1 on."));
        }
        return limit.asLong();
    }

    private static String affinityKey(ObjectNode json) {
        String text = json.path("messages").toString();
        if (json.path("messages").isMissingNode()) {
            text = json.path("prompt").asText();
        }
        String start = text.substring(0, Math.min(AFFINITY_CHARACTERS, text.length()));
        return Digests.sha256(json.path("model").asText() + start).substring(0, 16);
    }

    /**
     * Checks a request to a plain service.
     *
     * @param identity the caller; null on an open path
     * @param uri the path and query at the endpoint
     * @throws RefusedException if the request cannot be served as it is
     */
    Exchange.Incoming plain(
            String requestId,
            KeyCheck.Identity identity,
            Service service,
            String method,
            String uri,
            MultiMap headers,
            Buffer body) {
        requireNoSecret(identity, uri, body);
        return new Exchange.Incoming(
                requestId,
                identity == null ? OPEN_ACCOUNT : identity.account().id(),
                identity == null ? null : identity.key(),
                service,
                method,
                uri,
                HeaderFilter.apply(headers, identity == null ? null : identity.secret()),
                body,
                false,
                0,
                0,
                "",
                SAFE_METHODS.contains(method),
                false,
                deadlineMs());
    }

    private static void requireNoSecret(KeyCheck.Identity identity, String uri, Buffer body) {
        if (identity == null) {
            return;
        }
        byte[] secret = identity.secret().getBytes(StandardCharsets.UTF_8);
        boolean found = uri.contains(identity.secret()) || contains(body.getBytes(), secret);
        if (found) {
            throw new RefusedException(
                    Refusal.badRequest(
                            "key_in_request",
                            "The request contains your key outside the Authorization header."
                                    + " Remove it there."));
        }
    }

    private static boolean contains(byte[] data, byte[] part) {
        for (int start = 0; start + part.length <= data.length; start++) {
            int matched = 0;
            while (matched < part.length && data[start + matched] == part[matched]) {
                matched++;
            }
            if (matched == part.length) {
                return true;
            }
        }
        return false;
    }

    private long deadlineMs() {
        return mContext.nowMs() + mContext.snapshot().configuration().rules().requestTimeoutMs();
    }

    /** Returns the common form of a request that another instance has checked and forwarded. */
    Exchange.Incoming forwarded(PeerMessage.ForwardStart start, Service service, String uri) {
        Map<String, String> headers = new HashMap<>(start.headers());
        boolean model = service.type() == ServiceKind.MODEL;
        KeyId key = start.key();
        return new Exchange.Incoming(
                start.requestId(),
                start.account(),
                key,
                service,
                start.method(),
                uri,
                headers,
                Buffer.buffer(start.body()),
                false,
                0,
                model ? 1 : 0,
                "",
                model || SAFE_METHODS.contains(start.method()),
                true,
                mContext.nowMs() + start.deadlineMs());
    }
}
