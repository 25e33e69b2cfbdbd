package org.filbertrudder.entry.traffic;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.filbertrudder.entry.EntrySettings;
import org.filbertrudder.entry.control.Snapshot;
import org.filbertrudder.model.InvalidValueException;
import org.filbertrudder.model.Json;
import org.filbertrudder.model.Service;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.ServiceKind;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.policy.Rendezvous;

/** Serves the HTTP API for callers. */
final class CallerApi {

    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final long BODY_TIMEOUT_MS = 10_000;
    private static final int ENTRIES_VALID_SECONDS = 30;
    private static final String SERVICES_PREFIX = "/services/";
    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 255;

    private final TrafficContext mContext;
    private final EntrySettings mSettings;
    private final RequestFactory mFactory;
    private final BiConsumer<Exchange, String> mServe;
    private final Consumer<Exchange> mCancel;

    CallerApi(
            TrafficContext context,
            EntrySettings settings,
            RequestFactory factory,
            BiConsumer<Exchange, String> serve,
            Consumer<Exchange> cancel) {
        mContext = context;
        mSettings = settings;
        mFactory = factory;
        mServe = serve;
        mCancel = cancel;
    }

    HttpServerOptions serverOptions() {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxInitialLineLength(MAX_LINE_BYTES)
                        .setTcpNoDelay(true);
        if (mSettings.callerTls() != null) {
            options.setSsl(true)
                    .setKeyCertOptions(
                            new PemKeyCertOptions()
                                    .addCertValue(
                                            Buffer.buffer(mSettings.callerTls().certificate()))
                                    .addKeyValue(Buffer.buffer(mSettings.callerTls().key())));
        }
        return options;
    }

    Router router(Vertx vertx) {
        Router router = Router.router(vertx);
        router.route().handler(context -> guard(vertx, context));
        router.route().handler(BodyHandler.create(false).setBodyLimit(mSettings.maxBodyBytes()));
        router.get("/v1/entries").handler(safely(this::listEntries));
        router.get("/v1/models").handler(safely(this::listModels));
        router.post("/v1/chat/completions").handler(safely(this::serveModel));
        router.post("/v1/completions").handler(safely(this::serveModel));
        router.route("/services/:service/*").handler(safely(this::servePlain));
        router.route().handler(context -> refuse(context, notFound()));
        router.errorHandler(413, context -> refuse(context, bodyTooLong()));
        router.errorHandler(500, context -> refuse(context, internalError()));
        router.errorHandler(400, context -> refuse(context, malformed()));
        return router;
    }

    private static Refusal notFound() {
        return Refusal.of(
                404,
                "unknown_path",
                "There is nothing here. Use /v1/chat/completions, /v1/completions, /v1/models,"
                        + " /v1/entries or /services/SERVICE/PATH.");
    }

    private Refusal bodyTooLong() {
        return Refusal.of(
                413,
                "body_too_long",
                "The body is longer than " + mSettings.maxBodyBytes() + " bytes. Send less.");
    }

    private static Refusal internalError() {
        return Refusal.of(500, "internal_error", "The request met a fault here. Send it again.");
    }

    private static Refusal malformed() {
        return Refusal.badRequest("malformed_request", "The request is not valid HTTP. Mend it.");
    }

    /** Refuses ambiguous requests and bodies that come too slowly. */
    private void guard(Vertx vertx, RoutingContext context) {
        HttpServerRequest request = context.request();
        boolean ambiguous =
                request.headers().contains("content-length")
                        && request.headers().contains("transfer-encoding");
        boolean hosts = request.headers().getAll("host").size() > 1;
        if (ambiguous || hosts) {
            request.response().putHeader("connection", "close");
            refuse(context, malformed());
            return;
        }
        if (hasUnknownCoding(request)) {
            // Nobody can tell where such a body ends, so no other request can follow it.
            request.response().putHeader("connection", "close");
            request.response().endHandler(ignored -> request.connection().close());
            refuse(context, unknownCoding());
            return;
        }
        if (request.headers().getAll("authorization").size() > 1) {
            refuse(context, twoKeys());
            return;
        }
        Snapshot snapshot = mContext.snapshot();
        if (snapshot == null || snapshot.configuration().revision() == 0) {
            refuse(context, noConfiguration());
            return;
        }
        if (snapshot.leaving()) {
            request.response().putHeader("connection", "close");
        }
        long timer = vertx.setTimer(BODY_TIMEOUT_MS, ignored -> refuseSlow(context));
        context.addEndHandler(ignored -> vertx.cancelTimer(timer));
        context.next();
    }

    private static boolean hasUnknownCoding(HttpServerRequest request) {
        List<String> codings = request.headers().getAll("transfer-encoding");
        return codings.size() > 1
                || (codings.size() == 1 && !codings.get(0).equalsIgnoreCase("chunked"));
    }

    private static Refusal unknownCoding() {
        return Refusal.of(
                501, "unknown_coding", "Send the body with a length or as a chunked one.");
    }

    private static Refusal twoKeys() {
        return Refusal.badRequest(
                "ambiguous_key", "The request shows several keys. Send one Authorization header.");
    }

    private static Refusal noConfiguration() {
        return Refusal.unavailable(
                "No configuration is in force here yet. Come back later; on a new system an"
                        + " operator must apply an inventory first.");
    }

    private static void refuseSlow(RoutingContext context) {
        if (!context.request().isEnded()) {
            context.response().putHeader("connection", "close");
            refuse(
                    context,
                    Refusal.of(
                            408,
                            "body_too_slow",
                            "The body did not arrive in time. Send it again."));
        }
    }

    /** Refuses bytes that the HTTP parser does not understand. */
    void refuseInvalid(HttpServerRequest request) {
        Refusal refusal = malformed();
        request.response()
                .setStatusCode(refusal.status())
                .putHeader("content-type", "application/json")
                .putHeader("connection", "close")
                .end(refusal.toJson("none"))
                .onComplete(ignored -> request.connection().close());
    }

    private static Handler<RoutingContext> safely(Consumer<RoutingContext> handler) {
        return context -> {
            try {
                handler.accept(context);
            } catch (RefusedException e) {
                refuse(context, e.refusal());
            }
        };
    }

    private static void refuse(RoutingContext context, Refusal refusal) {
        if (!context.response().ended() && !context.response().headWritten()) {
            Finisher.send(new HttpSink(context.response()), newRequestId(), refusal);
        }
    }

    private static String newRequestId() {
        return UUID.randomUUID().toString();
    }

    private KeyCheck.Identity identify(RoutingContext context) {
        return KeyCheck.check(
                context.request().getHeader("authorization"), mContext.snapshot().configuration());
    }

    private void serveModel(RoutingContext context) {
        KeyCheck.Identity identity = identify(context);
        Exchange.Incoming incoming =
                mFactory.model(
                        newRequestId(),
                        identity,
                        context.request().path(),
                        context.request().headers(),
                        body(context));
        serve(context, incoming, null);
    }

    private void servePlain(RoutingContext context) {
        requireNormalPath(context);
        String rest = context.request().uri().substring(SERVICES_PREFIX.length());
        int slash = rest.indexOf('/');
        Service service = plainService(rest.substring(0, slash));
        String path = context.request().path().substring(SERVICES_PREFIX.length() + slash);
        KeyCheck.Identity identity = service.isOpen(path) ? null : identify(context);
        Exchange.Incoming incoming =
                mFactory.plain(
                        newRequestId(),
                        identity,
                        service,
                        context.request().method().name(),
                        rest.substring(slash),
                        context.request().headers(),
                        body(context));
        serve(context, incoming, idempotencyKey(context));
    }

    /** Refuses paths that an endpoint may read differently, such as those with dot segments. */
    private static void requireNormalPath(RoutingContext context) {
        String path = context.request().path();
        if (!path.equals(context.normalizedPath()) || path.contains("//")) {
            throw new RefusedException(
                    Refusal.badRequest(
                            "path_not_normal",
                            "The path has dot segments, double slashes or needless escapes. Send"
                                    + " its normal form."));
        }
    }

    private Service plainService(String id) {
        try {
            return mContext.snapshot()
                    .configuration()
                    .service(ServiceId.of(id))
                    .filter(service -> service.type() == ServiceKind.PLAIN)
                    .orElseThrow(() -> new RefusedException(unknownService()));
        } catch (InvalidValueException e) {
            throw new RefusedException(unknownService());
        }
    }

    private static Refusal unknownService() {
        return Refusal.of(404, "unknown_service", "There is no such service. Check its name.");
    }

    private static String idempotencyKey(RoutingContext context) {
        String key = context.request().getHeader("idempotency-key");
        if (key != null && (key.isBlank() || key.length() > MAX_IDEMPOTENCY_KEY_LENGTH)) {
            throw new RefusedException(
                    Refusal.badRequest(
                            "invalid_idempotency_key",
                            "The Idempotency-Key must have 1 to 255 characters."));
        }
        return key;
    }

    private static Buffer body(RoutingContext context) {
        Buffer body = context.body().buffer();
        return body == null ? Buffer.buffer() : body;
    }

    private void serve(RoutingContext context, Exchange.Incoming incoming, String idempotencyKey) {
        Exchange exchange =
                new Exchange(incoming, new HttpSink(context.response()), mContext.nowMs());
        context.response().putHeader(Exchange.REQUEST_ID_HEADER, incoming.requestId());
        context.response().closeHandler(ignored -> mCancel.accept(exchange));
        context.response().exceptionHandler(ignored -> mCancel.accept(exchange));
        mServe.accept(exchange, idempotencyKey);
    }

    private void listModels(RoutingContext context) {
        identify(context);
        ArrayNode data = Json.MAPPER.createArrayNode();
        for (Service service : mContext.snapshot().configuration().all(Service.class)) {
            for (String model : service.models()) {
                data.addObject().put("id", model).put("object", "model");
            }
        }
        ObjectNode answer = Json.MAPPER.createObjectNode().put("object", "list");
        answer.set("data", data);
        sendJson(context, answer);
    }

    /**
     * Lists the instances that a caller should use, best first.
     *
     * <p>A caller that shows its key gets the holder of its account's tokens first, so that its
     * requests need no message between instances.
     */
    private void listEntries(RoutingContext context) {
        Snapshot snapshot = mContext.snapshot();
        Set<Member> members = new LinkedHashSet<>();
        if (context.request().getHeader("authorization") != null) {
            snapshot.holderOf(identify(context).account().id()).ifPresent(members::add);
        }
        members.addAll(
                Rendezvous.rank(
                        String.valueOf(context.request().remoteAddress()),
                        snapshot.workingIn(snapshot.self().region()),
                        member -> member.id().value()));
        snapshot.members().stream().filter(Member::takesWork).forEach(members::add);
        ArrayNode entries = Json.MAPPER.createArrayNode();
        String scheme = mSettings.callerTls() == null ? "http" : "https";
        for (Member member : members) {
            entries.addObject()
                    .put("id", member.id().value())
                    .put("region", member.region().value())
                    .put("url", scheme + "://" + member.host() + ":" + member.callerPort());
        }
        ObjectNode answer = Json.MAPPER.createObjectNode();
        answer.put("valid_for_seconds", ENTRIES_VALID_SECONDS);
        answer.set("entries", entries);
        sendJson(context, answer);
    }

    private static void sendJson(RoutingContext context, ObjectNode json) {
        context.response().putHeader("content-type", "application/json").end(json.toString());
    }
}
