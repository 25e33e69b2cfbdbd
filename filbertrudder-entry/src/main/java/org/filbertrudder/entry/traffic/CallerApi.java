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
import org.filbertrudder.entry.control.ControlSnapshot;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.InvalidValueException;
import org.filbertrudder.model.Json;
import org.filbertrudder.model.Service;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.ServiceKind;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.policy.RendezvousHashing;

/** Serves the HTTP API for callers. */
final class CallerApi {

    private static final ComponentLogger LOG = ComponentLogger.of("callers");
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int MAX_REQUEST_LINE_BYTES = 8 * 1024;
    private static final long BODY_TIMEOUT_MS = 10_000;
    private static final int ENTRIES_VALIDITY_SECONDS = 30;
    private static final String SERVICES_PREFIX = "/services/";
    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 255;
    private static final String HEAD_RECEIVED_MS = "headReceivedMs";
    private static final String EXCHANGE = "exchange";

    private final TrafficContext mContext;
    private final EntrySettings mSettings;
    private final RequestFactory mRequestFactory;
    private final RequestAdmission mAdmission;
    private final CallerConnections mConnections;
    private final BiConsumer<Exchange, String> mServe;
    private final Consumer<Exchange> mCancel;
    private final Consumer<Exchange> mFail;

    /**
     * Creates the API.
     *
     * @param serve serves an exchange, with the idempotency key or null if there is none
     * @param cancel ends an exchange whose caller has closed the connection
     * @param fail ends an exchange whose handling has raised an exception
     */
    CallerApi(
            TrafficContext context,
            EntrySettings settings,
            RequestFactory requestFactory,
            RequestAdmission admission,
            CallerConnections connections,
            BiConsumer<Exchange, String> serve,
            Consumer<Exchange> cancel,
            Consumer<Exchange> fail) {
        mContext = context;
        mSettings = settings;
        mRequestFactory = requestFactory;
        mAdmission = admission;
        mConnections = connections;
        mServe = serve;
        mCancel = cancel;
        mFail = fail;
    }

    HttpServerOptions serverOptions() {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
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
        router.route().handler(this::trackRequest);
        router.route().handler(context -> checkRequest(vertx, context));
        router.route().handler(BodyHandler.create(false).setBodyLimit(mSettings.maxBodyBytes()));
        router.get("/v1/entries").handler(catchingRefusals(this::listEntries));
        router.get("/v1/models").handler(catchingRefusals(this::listModels));
        router.post("/v1/chat/completions").handler(catchingRefusals(this::serveModel));
        router.post("/v1/completions").handler(catchingRefusals(this::serveModel));
        router.route("/services/:service/*").handler(catchingRefusals(this::servePlain));
        router.route().handler(context -> refuse(context, unknownPath()));
        router.errorHandler(413, context -> refuse(context, bodyTooLong()));
        router.errorHandler(500, context -> refuseAfterException(context, mFail));
        router.errorHandler(400, context -> refuse(context, malformed()));
        return router;
    }

    private static Refusal unknownPath() {
        return Refusal.of(
                404,
                "unknown_path",
                "The path is unknown or does not support the method. Use /v1/chat/completions,"
                        + " /v1/completions, /v1/models, /v1/entries or /services/SERVICE/PATH.");
    }

    private Refusal bodyTooLong() {
        return Refusal.of(
                413,
                "body_too_long",
                "The body is longer than "
                        + mSettings.maxBodyBytes()
                        + " bytes. Send a shorter one.");
    }

    private static Refusal malformed() {
        return Refusal.badRequest(
                "malformed_request", "The request is not valid HTTP. Correct it.");
    }

    private void trackRequest(RoutingContext context) {
        context.put(HEAD_RECEIVED_MS, mContext.nowMs());
        mConnections.requestBegun(context);
        if (mAdmission.isShuttingDown()) {
            context.response().putHeader("connection", "close");
        }
        context.next();
    }

    /**
     * Refuses ambiguous requests, unknown transfer codings, bodies that arrive too slowly, and all
     * requests until the first configuration is in force.
     */
    private void checkRequest(Vertx vertx, RoutingContext context) {
        HttpServerRequest request = context.request();
        boolean ambiguousLength =
                request.headers().contains("content-length")
                        && request.headers().contains("transfer-encoding");
        boolean multipleHosts = request.headers().getAll("host").size() > 1;
        if (ambiguousLength || multipleHosts) {
            request.response().putHeader("connection", "close");
            refuse(context, malformed());
            return;
        }
        if (hasUnknownTransferCoding(request)) {
            // The end of such a body is unknown, so the connection cannot be used again.
            request.response().putHeader("connection", "close");
            request.response().endHandler(ignored -> request.connection().close());
            refuse(context, unknownTransferCoding());
            return;
        }
        if (request.headers().getAll("authorization").size() > 1) {
            refuse(context, multipleKeys());
            return;
        }
        ControlSnapshot snapshot = mContext.snapshot();
        if (snapshot == null || snapshot.configuration().revision() == 0) {
            refuse(context, noConfiguration());
            return;
        }
        long timer = vertx.setTimer(BODY_TIMEOUT_MS, ignored -> refuseSlowBody(context));
        context.addEndHandler(ignored -> vertx.cancelTimer(timer));
        context.next();
    }

    private static boolean hasUnknownTransferCoding(HttpServerRequest request) {
        List<String> codings = request.headers().getAll("transfer-encoding");
        return codings.size() > 1
                || (codings.size() == 1 && !codings.get(0).equalsIgnoreCase("chunked"));
    }

    private static Refusal unknownTransferCoding() {
        return Refusal.of(
                501,
                "unknown_coding",
                "Send the body with Content-Length or with the transfer coding 'chunked'.");
    }

    private static Refusal multipleKeys() {
        return Refusal.badRequest(
                "ambiguous_key",
                "The request has several Authorization headers. Send exactly one.");
    }

    private static Refusal noConfiguration() {
        return Refusal.unavailable(
                "The instance has no configuration yet. Retry later; on a new system an"
                        + " operator must apply an inventory first.");
    }

    private static void refuseSlowBody(RoutingContext context) {
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

    /** Refuses a request that the HTTP parser rejects, and closes the connection. */
    void refuseInvalid(HttpServerRequest request) {
        Refusal refusal = malformed();
        request.response()
                .setStatusCode(refusal.status())
                .putHeader("content-type", "application/json")
                .putHeader("connection", "close")
                .end(refusal.toJson("none"))
                .onComplete(ignored -> request.connection().close());
    }

    private static Handler<RoutingContext> catchingRefusals(Consumer<RoutingContext> handler) {
        return context -> {
            try {
                handler.accept(context);
            } catch (RefusedException e) {
                refuse(context, e.refusal());
            }
        };
    }

    /** Announces in all responses that have not begun that their connections will be closed. */
    void announceClose() {
        mConnections
                .unansweredRequests()
                .forEach(context -> context.response().putHeader("connection", "close"));
    }

    /** Refuses the requests that are still arriving. */
    void refuseUnanswered() {
        mConnections
                .unansweredRequests()
                .forEach(context -> refuse(context, Refusal.shuttingDown()));
    }

    /** Ends the exchange of the request, so that a request that waits does not run later. */
    static void refuseAfterException(RoutingContext context, Consumer<Exchange> fail) {
        Exchange exchange = context.get(EXCHANGE);
        String requestId = exchange == null ? newRequestId() : exchange.request().requestId();
        LOG.warn(
                "Handling a request has failed.",
                LogField.of("request", requestId),
                LogField.of("error", context.failure()));
        if (exchange == null) {
            refuse(context, requestId, Refusal.internalError(true));
        } else {
            fail.accept(exchange);
        }
    }

    static void bindExchange(RoutingContext context, Exchange exchange) {
        context.put(EXCHANGE, exchange);
    }

    private static void refuse(RoutingContext context, Refusal refusal) {
        refuse(context, newRequestId(), refusal);
    }

    private static void refuse(RoutingContext context, String requestId, Refusal refusal) {
        if (!context.response().ended() && !context.response().headWritten()) {
            ExchangeFinisher.send(new HttpResponseSink(context.response()), requestId, refusal);
        }
    }

    private static String newRequestId() {
        return UUID.randomUUID().toString();
    }

    private ApiKeyAuthenticator.Identity identify(RoutingContext context) {
        return ApiKeyAuthenticator.authenticate(
                context.request().getHeader("authorization"), mContext.snapshot().configuration());
    }

    private void serveModel(RoutingContext context) {
        ApiKeyAuthenticator.Identity identity = identify(context);
        Exchange.Request request =
                mRequestFactory.modelRequest(
                        newRequestId(),
                        identity,
                        context.request().path(),
                        context.request().headers(),
                        body(context));
        startExchange(context, request, null);
    }

    private void servePlain(RoutingContext context) {
        requireNormalPath(context);
        String serviceAndPath = context.request().uri().substring(SERVICES_PREFIX.length());
        int slash = serviceAndPath.indexOf('/');
        Service service = plainService(serviceAndPath.substring(0, slash));
        String path = context.request().path().substring(SERVICES_PREFIX.length() + slash);
        ApiKeyAuthenticator.Identity identity =
                service.allowsAnonymousAccess(path) ? null : identify(context);
        Exchange.Request request =
                mRequestFactory.plainRequest(
                        newRequestId(),
                        identity,
                        service,
                        context.request().method().name(),
                        serviceAndPath.substring(slash),
                        context.request().headers(),
                        body(context));
        startExchange(context, request, idempotencyKey(context));
    }

    /**
     * Refuses paths that an endpoint may interpret differently, such as those with dot segments.
     */
    private static void requireNormalPath(RoutingContext context) {
        String path = context.request().path();
        if (!path.equals(context.normalizedPath()) || path.contains("//")) {
            throw new RefusedException(
                    Refusal.badRequest(
                            "path_not_normal",
                            "The path has dot segments, double slashes or unneeded escapes. Send"
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
        return Refusal.of(404, "unknown_service", "The service does not exist. Check its name.");
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

    private void startExchange(
            RoutingContext context, Exchange.Request request, String idempotencyKey) {
        if (!mAdmission.accepts(context.get(HEAD_RECEIVED_MS)) || !mAdmission.mayStart()) {
            throw new RefusedException(Refusal.shuttingDown());
        }
        Exchange exchange =
                new Exchange(request, new HttpResponseSink(context.response()), mContext.nowMs());
        context.response().putHeader(Exchange.REQUEST_ID_HEADER, request.requestId());
        context.response().closeHandler(ignored -> mCancel.accept(exchange));
        context.response().exceptionHandler(ignored -> mCancel.accept(exchange));
        bindExchange(context, exchange);
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
        ObjectNode json = Json.MAPPER.createObjectNode().put("object", "list");
        json.set("data", data);
        sendJson(context, json);
    }

    /**
     * Lists the instances that a caller should use, in the order of preference.
     *
     * <p>A caller that sends its key gets the instance that holds its account's tokens first, so
     * that its requests need no messages between instances. Other instances of this region follow,
     * then those of other regions.
     */
    private void listEntries(RoutingContext context) {
        ControlSnapshot snapshot = mContext.snapshot();
        Set<Member> members = new LinkedHashSet<>();
        if (context.request().getHeader("authorization") != null) {
            snapshot.tokenHolderOf(identify(context).account().id()).ifPresent(members::add);
        }
        members.addAll(
                RendezvousHashing.rank(
                        String.valueOf(context.request().remoteAddress()),
                        snapshot.membersAcceptingWorkIn(snapshot.self().region()),
                        member -> member.id().value()));
        snapshot.members().stream().filter(Member::acceptsNewRequests).forEach(members::add);
        ArrayNode entries = Json.MAPPER.createArrayNode();
        String scheme = mSettings.callerTls() == null ? "http" : "https";
        for (Member member : members) {
            entries.addObject()
                    .put("id", member.id().value())
                    .put("region", member.region().value())
                    .put("url", scheme + "://" + member.host() + ":" + member.callerPort());
        }
        ObjectNode json = Json.MAPPER.createObjectNode();
        json.put("valid_for_seconds", ENTRIES_VALIDITY_SECONDS);
        json.set("entries", entries);
        sendJson(context, json);
    }

    private static void sendJson(RoutingContext context, ObjectNode json) {
        context.response().putHeader("content-type", "application/json").end(json.toString());
    }
}
