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

/** Validates requests of callers and creates the requests of exchanges from them. */
final class RequestFactory {

    /** Account under which the requests of all callers of open paths are queued. */
    static final AccountId OPEN_ACCOUNT = AccountId.of("open");

    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int TOKENS_PER_MESSAGE = 4;
    private static final int AFFINITY_PREFIX_CHARACTERS = 256;
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");
    private static final ObjectReader STRICT_READER =
            Json.MAPPER.reader().with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private final TrafficContext mContext;

    RequestFactory(TrafficContext context) {
        mContext = context;
    }

    /**
     * Validates a request to a model service.
     *
     * @throws RefusedException if the request is not valid
     */
    Exchange.Request modelRequest(
            String requestId,
            ApiKeyAuthenticator.Identity identity,
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
        Buffer forwardedBody = Buffer.buffer(json.toString());
        refuseLeakedSecret(identity, uri, forwardedBody);
        return new Exchange.Request(
                requestId,
                identity.account().id(),
                identity.key(),
                service,
                "POST",
                uri,
                HeaderFilter.apply(headers, identity.secret()),
                forwardedBody,
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
            JsonNode json = STRICT_READER.readTree(body.getBytes());
            if (json instanceof ObjectNode object) {
                return object;
            }
        } catch (IOException e) {
            throw new RefusedException(
                    Refusal.badRequest(
                            "malformed_json", "The body is not valid JSON. Send one JSON object."));
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
                tokens += TOKENS_PER_MESSAGE + estimateTokens(message.path("content"));
            }
            return tokens;
        }
        if (json.path("prompt").isTextual()) {
            return Math.max(1, estimateTokens(json.path("prompt")));
        }
        throw new RefusedException(
                Refusal.badRequest(
                        "missing_prompt", "Send 'messages' with at least one entry, or 'prompt'."));
    }

    private static long estimateTokens(JsonNode content) {
        int characters =
                content.isTextual() ? content.asText().length() : content.toString().length();
        return (characters + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
    }

    /** Returns the output limit; writes the default into the request if it has none. */
    private static long outputTokens(ObjectNode json, Rules rules) {
        String field = json.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
        if (!json.has(field)) {
            json.put(field, rules.maxOutputTokens());
        }
        JsonNode limit = json.get(field);
        if (!limit.isIntegralNumber() || limit.asLong() < 1 || limit.asLong() > 1_000_000) {
            throw new RefusedException(
                    Refusal.badRequest(
                            "invalid_" + field,
                            field + " must be a whole number from 1 to 1000000."));
        }
        return limit.asLong();
    }

    private static String affinityKey(ObjectNode json) {
        String text = json.path("messages").toString();
        if (json.path("messages").isMissingNode()) {
            text = json.path("prompt").asText();
        }
        String start = text.substring(0, Math.min(AFFINITY_PREFIX_CHARACTERS, text.length()));
        return Digests.sha256(json.path("model").asText() + start).substring(0, 16);
    }

    /**
     * Validates a request to a plain service.
     *
     * @param identity the caller; null on an open path
     * @param uri the path and query at the endpoint
     * @throws RefusedException if the request is not valid
     */
    Exchange.Request plainRequest(
            String requestId,
            ApiKeyAuthenticator.Identity identity,
            Service service,
            String method,
            String uri,
            MultiMap headers,
            Buffer body) {
        refuseLeakedSecret(identity, uri, body);
        return new Exchange.Request(
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

    private static void refuseLeakedSecret(
            ApiKeyAuthenticator.Identity identity, String uri, Buffer body) {
        if (identity == null) {
            return;
        }
        byte[] secret = identity.secret().getBytes(StandardCharsets.UTF_8);
        boolean found = uri.contains(identity.secret()) || contains(body.getBytes(), secret);
        if (found) {
            throw new RefusedException(
                    Refusal.badRequest(
                            "key_in_request",
                            "The request contains the API key outside the Authorization header."
                                    + " Remove it from the path and the body."));
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

    /** Creates the request of an exchange that another instance has validated and forwarded. */
    Exchange.Request forwardedRequest(PeerMessage.ForwardStart start, Service service, String uri) {
        Map<String, String> headers = new HashMap<>(start.headers());
        boolean isModel = service.type() == ServiceKind.MODEL;
        KeyId key = start.key();
        return new Exchange.Request(
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
                isModel ? 1 : 0,
                "",
                isModel || SAFE_METHODS.contains(start.method()),
                true,
                mContext.nowMs() + start.deadlineMs());
    }
}
