package org.filbertrudder.gateway.traffic;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.entry.traffic.HeadBudgetHandler;
import org.filbertrudder.entry.traffic.HeadRefusals;
import org.filbertrudder.entry.traffic.ListeningSocket;
import org.filbertrudder.gateway.GatewaySettings;
import org.filbertrudder.gateway.config.AccountRule;
import org.filbertrudder.gateway.config.CallerLimits;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.gateway.config.RouteRule;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewayControl;
import org.filbertrudder.peer.forwarding.HeldBytes;
import org.filbertrudder.policy.connections.ReadingLimits;
import org.filbertrudder.policy.freshness.ClockReading;

/**
 * Serves callers over HTTP: reads requests, finds their route and account, and passes them to
 * admission.
 */
final class CallerServer {

    private static final ComponentLogger LOG = ComponentLogger.of("callers");

    /** The longest head that the parser accepts, in bytes; the configured limits are lower. */
    private static final int PARSER_MAX_HEAD_BYTES = 64 * 1024;

    private static final int PARSER_MAX_LINE_BYTES = 16 * 1024;

    /** One of so many parts of the heap may hold the heads of open requests. */
    private static final int HEAD_HEAP_PARTS = 8;

    /**
     * How long a request with an unknown route or key waits for the state to be confirmed before it
     * is refused, in milliseconds.
     */
    private static final long LOOKUP_WAIT_MS = 900;

    /** When to come back after a refusal for the bodies that are held, in milliseconds. */
    static final long BODIES_RETRY_AFTER_MS = 1_000;

    private final Vertx mVertx;
    private final GatewaySettings mSettings;
    private final GatewayControl mControl;
    private final HttpProtocol mProtocol;
    private final Admission mAdmission;
    private final RandomGenerator mRandom;
    private final BooleanSupplier mStopping;
    private final BooleanSupplier mRefusing;
    private final ExchangeLifecycle mLifecycle;
    private final OpenRequests mOpenRequests;
    private final SlowCallers mSlowCallers;
    private final ListeningSocket mListeningSocket = new ListeningSocket();
    private final HeldBytes mHeads = HeldBytes.ofHeapPart(HEAD_HEAP_PARTS);
    private final HeadRefusals mHeadRefusals;
    private HttpServer mServer;

    CallerServer(
            Vertx vertx,
            GatewaySettings settings,
            GatewayControl control,
            HttpProtocol protocol,
            Admission admission,
            RandomGenerator random,
            BooleanSupplier stopping,
            BooleanSupplier refusing,
            HeldBytes bodies,
            GatewayMetrics metrics,
            ExchangeLifecycle lifecycle) {
        mVertx = vertx;
        mSettings = settings;
        mControl = control;
        mProtocol = protocol;
        mAdmission = admission;
        mRandom = random;
        mStopping = stopping;
        mRefusing = refusing;
        mLifecycle = lifecycle;
        mOpenRequests = new OpenRequests(bodies);
        mSlowCallers = new SlowCallers(settings.limitsUnreadBytes(), bodies);
        mHeadRefusals = new GatewayHeadRefusals(protocol, metrics, PARSER_MAX_HEAD_BYTES);
        metrics.gauge("held_head_bytes", mHeads::heldBytes);
    }

    Future<Void> listen() {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setMaxHeaderSize(PARSER_MAX_HEAD_BYTES)
                        .setMaxInitialLineLength(PARSER_MAX_LINE_BYTES)
                        .setTcpNoDelay(true)
                        // Callers use plain HTTP/1.1; these would add handlers to each connection.
                        .setHttp2ClearTextEnabled(false)
                        .setPerFrameWebSocketCompressionSupported(false)
                        .setPerMessageWebSocketCompressionSupported(false);
        mServer = mVertx.createHttpServer(options);
        mServer.requestHandler(this::receive);
        mServer.invalidRequestHandler(this::refuseInvalid);
        mServer.connectionHandler(
                connection -> {
                    mListeningSocket.connectionOpened(connection);
                    // The observer of received bytes, added next, comes before it.
                    HeadBudgetHandler.install(
                            connection,
                            mHeads,
                            PARSER_MAX_HEAD_BYTES,
                            HeadBudgetHandler.NO_TIMEOUT,
                            mHeadRefusals);
                    mOpenRequests.connectionOpened(connection);
                });
        return mServer.listen(mSettings.callerAddress().port(), mSettings.callerAddress().host())
                .mapEmpty();
    }

    private void refuseInvalid(HttpServerRequest request) {
        LOG.info("A malformed HTTP request is refused.");
        GatewayRefusal refusal = GatewayRefusal.malformed("Send a valid HTTP/1.1 request.");
        request.response()
                .setStatusCode(refusal.status())
                .putHeader("connection", "close")
                .end(refusal.body())
                .onComplete(ignored -> request.connection().close());
    }

    private void receive(HttpServerRequest request) {
        OpenRequests.OpenRequest open = mOpenRequests.open(request, Clocks.steadyMs());
        request.endHandler(ignored -> open.bodyRead());
        CallerResponseSink sink =
                new CallerResponseSink(
                        request.response(),
                        mProtocol,
                        mStopping,
                        open,
                        mSlowCallers.track(request, open));
        open.onRefuse(refusal -> refuse(request, sink, open, refusal));
        refuseOnException(request, sink, open, () -> receive(request, sink, open));
    }

    /** Runs a step of a request; refuses the request at once if the step raises an exception. */
    private void refuseOnException(
            HttpServerRequest request,
            CallerResponseSink sink,
            OpenRequests.OpenRequest open,
            Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            LOG.warn(
                    "Handling a request has failed.",
                    LogField.of("id", open.id()),
                    LogField.of("error", e));
            if (open.exchange() == null) {
                refuse(request, sink, open, GatewayRefusal.internalError(true));
            } else {
                mLifecycle.fail(open.exchange());
            }
        }
    }

    private void receive(
            HttpServerRequest request, CallerResponseSink sink, OpenRequests.OpenRequest open) {
        String length = request.getHeader("content-length");
        open.bodyAnnounced(length == null ? Long.MAX_VALUE : Long.parseLong(length));
        open.setId(mProtocol.readRequestId(request.headers()));
        GatewayConfiguration configuration = mControl.snapshot().configuration();
        if (configuration == null || mRefusing.getAsBoolean()) {
            refuse(
                    request,
                    sink,
                    open,
                    configuration == null ? GatewayRefusal.notReady() : GatewayRefusal.stopping());
            return;
        }
        Optional<GatewayRefusal> refusal = checkHead(request, configuration.limits());
        if (refusal.isPresent()) {
            refuse(request, sink, open, refusal.get());
            return;
        }
        RequestHead head;
        try {
            head = mProtocol.readRequest(request.headers());
        } catch (MalformedRequestException e) {
            refuse(request, sink, open, GatewayRefusal.malformed(e.getMessage()));
            return;
        }
        lookUpBeforeBody(request, head, configuration.limits().maxBodyBytes(), sink, open);
    }

    /**
     * Reads the body of a request whose route and account are known. The others wait for the next
     * confirmation of the state, their bodies in the socket, and are refused unless it names them.
     */
    private void lookUpBeforeBody(
            HttpServerRequest request,
            RequestHead head,
            long maxBodyBytes,
            CallerResponseSink sink,
            OpenRequests.OpenRequest open) {
        Consumer<Target> readBody =
                target -> {
                    open.bodyDueIn(target.timeoutMs(head) - (Clocks.steadyMs() - open.arrivedMs()));
                    readBody(
                            request,
                            maxBodyBytes,
                            sink,
                            open,
                            body -> admitOrAwaitState(request, head, body, sink, open));
                };
        Optional<Target> known = findTarget(request, head);
        if (known.isPresent()) {
            readBody.accept(known.get());
            return;
        }
        request.pause();
        awaitState(
                request,
                sink,
                open,
                lookupStart -> {
                    Optional<Target> found = findTarget(request, head);
                    if (found.isEmpty()) {
                        refuseUnknown(request, head, sink, open, lookupStart);
                    } else {
                        open.lookupEnded();
                        readBody.accept(found.get());
                        request.resume();
                    }
                });
    }

    /**
     * Refuses a request. What is left of its body is dropped up to a limit, so that the caller can
     * read the refusal.
     */
    private void refuse(
            HttpServerRequest request,
            CallerResponseSink sink,
            OpenRequests.OpenRequest open,
            GatewayRefusal refusal) {
        LOG.info(
                "A request is refused before admission.",
                LogField.of("id", open.id()),
                LogField.of("outcome", refusal.code()),
                LogField.of("status", refusal.status()),
                LogField.of("uri", request.uri()));
        open.refused();
        if (request.isEnded()) {
            sink.refuse(refusal);
            return;
        }
        request.handler(part -> open.bodyReceived(part.length()));
        request.endHandler(ignored -> open.bodyRead());
        request.resume();
        // A body that was received with the head is dropped first and leaves the connection open.
        mVertx.runOnContext(ignored -> sink.refuse(refusal));
    }

    private static Optional<GatewayRefusal> checkHead(
            HttpServerRequest request, CallerLimits limits) {
        MultiMap headers = request.headers();
        List<String> codings = headers.getAll("transfer-encoding");
        boolean supportedCoding =
                codings.isEmpty()
                        || (codings.size() == 1 && codings.get(0).equalsIgnoreCase("chunked"));
        if (!supportedCoding) {
            return Optional.of(GatewayRefusal.unknownTransferCoding());
        }
        if (headBytes(request) > limits.maxHeaderBytes()) {
            return Optional.of(GatewayRefusal.headTooLong(limits.maxHeaderBytes()));
        }
        String length = headers.get("content-length");
        if (length != null && Long.parseLong(length) > limits.maxBodyBytes()) {
            return Optional.of(GatewayRefusal.bodyTooLong(limits.maxBodyBytes()));
        }
        return Optional.empty();
    }

    private static long headBytes(HttpServerRequest request) {
        long[] bytes = {request.uri().length()};
        request.headers().forEach((name, value) -> bytes[0] += name.length() + value.length() + 4);
        return bytes[0];
    }

    private void readBody(
            HttpServerRequest request,
            long maxBytes,
            CallerResponseSink sink,
            OpenRequests.OpenRequest open,
            Consumer<Buffer> onBody) {
        Buffer body = Buffer.buffer();
        request.handler(
                part -> {
                    open.bodyReceived(part.length());
                    if (body.length() + part.length() > maxBytes) {
                        refuse(request, sink, open, GatewayRefusal.bodyTooLong(maxBytes));
                    } else if (open.tryHold(part.length())) {
                        body.appendBuffer(part);
                    } else {
                        refuse(
                                request,
                                sink,
                                open,
                                GatewayRefusal.overloaded(BODIES_RETRY_AFTER_MS));
                    }
                });
        request.endHandler(
                ignored -> {
                    open.bodyRead();
                    refuseOnException(request, sink, open, () -> onBody.accept(body));
                });
        if ("100-continue".equalsIgnoreCase(request.getHeader("expect"))) {
            request.response().writeContinue();
        }
    }

    /**
     * Admits the request, or looks up a route or account that has gone missing once more after the
     * next confirmation of the state.
     */
    private void admitOrAwaitState(
            HttpServerRequest request,
            RequestHead head,
            Buffer body,
            CallerResponseSink sink,
            OpenRequests.OpenRequest open) {
        if (!open.awaitsAdmission() || admitIfFound(request, head, body, sink, open)) {
            return;
        }
        awaitState(
                request,
                sink,
                open,
                lookupStart -> {
                    if (!admitIfFound(request, head, body, sink, open)) {
                        refuseUnknown(request, head, sink, open, lookupStart);
                    }
                });
    }

    /** Runs a step of the request, if it is still open, after the state has been confirmed. */
    private void awaitState(
            HttpServerRequest request,
            CallerResponseSink sink,
            OpenRequests.OpenRequest open,
            Consumer<ClockReading> step) {
        ClockReading lookupStart = Clocks.now();
        open.lookupStarted();
        mAdmission.onConfirmation(
                LOOKUP_WAIT_MS,
                () -> {
                    if (open.awaitsAdmission()) {
                        refuseOnException(request, sink, open, () -> step.accept(lookupStart));
                    }
                });
    }

    private void refuseUnknown(
            HttpServerRequest request,
            RequestHead head,
            CallerResponseSink sink,
            OpenRequests.OpenRequest open,
            ClockReading lookupStart) {
        boolean stateConfirmed =
                mControl.stateFreshness().isConfirmedSince(lookupStart, Clocks.now());
        refuse(
                request,
                sink,
                open,
                stateConfirmed ? unknownRouteOrKey(request, head) : GatewayRefusal.stateOutdated());
    }

    private GatewayRefusal unknownRouteOrKey(HttpServerRequest request, RequestHead head) {
        boolean routeExists =
                mControl.snapshot().configuration().route(head.host(), request.path()).isPresent();
        return routeExists ? GatewayRefusal.unauthorized() : GatewayRefusal.noRoute();
    }

    /** The route and the account of a request; no account if the route needs no key. */
    private record Target(RouteRule route, Optional<AccountRule> account) {

        /** Returns the time from the head's arrival to the final response, in milliseconds. */
        long timeoutMs(RequestHead head) {
            return Math.min(route.timeoutMs(), head.deadlineMs().orElse(Long.MAX_VALUE));
        }
    }

    private Optional<Target> findTarget(HttpServerRequest request, RequestHead head) {
        GatewayConfiguration configuration = mControl.snapshot().configuration();
        Optional<RouteRule> route = configuration.route(head.host(), request.path());
        if (route.isEmpty()) {
            return Optional.empty();
        }
        boolean keyRequired = configuration.hasAccounts() && !route.get().anonymous();
        Optional<AccountRule> account =
                keyRequired ? head.apiKey().flatMap(configuration::accountOfKey) : Optional.empty();
        return keyRequired && account.isEmpty()
                ? Optional.empty()
                : Optional.of(new Target(route.get(), account));
    }

    /**
     * Begins and admits an exchange if the route and account are found; returns whether they are.
     */
    private boolean admitIfFound(
            HttpServerRequest request,
            RequestHead head,
            Buffer body,
            CallerResponseSink sink,
            OpenRequests.OpenRequest open) {
        Optional<Target> target = findTarget(request, head);
        if (target.isEmpty()) {
            return false;
        }
        RouteRule route = target.get().route();
        GatewayExchange exchange =
                new GatewayExchange(
                        head,
                        request.method().name(),
                        request.uri(),
                        body,
                        route,
                        target.get().account(),
                        route.chooseService(mRandom.nextDouble()),
                        false,
                        sink,
                        open.arrivedMs());
        open.admitted(exchange);
        mLifecycle.begin(exchange);
        open.onClosed(() -> mLifecycle.callerDisconnected(exchange));
        if (request.response().closed()) {
            mLifecycle.callerDisconnected(exchange);
            return true;
        }
        mAdmission.admit(exchange);
        return true;
    }

    /** Returns what bounds the responses that wait for callers. */
    SlowCallers slowCallers() {
        return mSlowCallers;
    }

    /** Ends the connections that the limits do not allow to go on reading. */
    void endLateConnections() {
        GatewayConfiguration configuration = mControl.snapshot().configuration();
        if (configuration != null) {
            CallerLimits limits = configuration.limits();
            mOpenRequests.endLate(
                    new ReadingLimits(limits.headerTimeoutMs(), limits.idleTimeoutMs()),
                    mStopping.getAsBoolean()
                            ? GatewayRefusal.stopping()
                            : GatewayRefusal.requestTooSlow());
        }
    }

    /** Closes the connections that carry no request. */
    void closeIdle() {
        mOpenRequests.closeIdleLongerThan(-1, OpenRequests.CloseCause.DRAIN);
    }

    /** Returns the open requests of callers. */
    OpenRequests openRequests() {
        return mOpenRequests;
    }

    /** Refuses new connections; those that wait to be accepted are accepted before. */
    Future<Void> stopListening() {
        return mListeningSocket.close(mVertx.getOrCreateContext());
    }

    Future<Void> close() {
        return mServer.close();
    }

    /** Registers new exchanges and handles callers that disconnect. */
    interface ExchangeLifecycle {

        /** Registers a new exchange. */
        void begin(GatewayExchange exchange);

        /** Handles the disconnection of an exchange's caller. */
        void callerDisconnected(GatewayExchange exchange);

        /** Ends an exchange whose handling has raised an exception. */
        void fail(GatewayExchange exchange);
    }
}
