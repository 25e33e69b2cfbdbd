package org.filbertrudder.entry.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.filbertrudder.entry.EntrySettings;
import org.filbertrudder.entry.OperatorCredential;
import org.filbertrudder.entry.control.ChangeRejectedException;
import org.filbertrudder.entry.control.ChangeService;
import org.filbertrudder.entry.control.ControlLoop;
import org.filbertrudder.entry.control.ControlState;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.ApiKey;
import org.filbertrudder.model.Change;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.Edit;
import org.filbertrudder.model.EntityKey;
import org.filbertrudder.model.EntityKind;
import org.filbertrudder.model.InvalidValueException;
import org.filbertrudder.model.Inventory;
import org.filbertrudder.model.Json;
import org.filbertrudder.model.Operator;
import org.filbertrudder.model.OperatorRole;
import org.filbertrudder.model.message.MemberState;

/** Serves the administration API for operators over HTTP; runs on the control thread. */
public final class AdminApi {

    private static final ComponentLogger LOG = ComponentLogger.of("audit");
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;
    private static final int DEFAULT_PAGE_SIZE = 100;
    private static final int MAX_PAGE_SIZE = 1_000;
    private static final String OPERATOR_NAME_KEY = "operator";
    private static final String BASE_PATH = "/admin/v1";

    private final ControlLoop mControl;
    private final EntrySettings mSettings;
    private final Supplier<Object> mStateDump;
    private final Runnable mStartDrain;

    /**
     * Creates the API.
     *
     * @param stateDump returns the state dump of the instance
     * @param startDrain starts a graceful shutdown of the instance
     */
    public AdminApi(
            ControlLoop control,
            EntrySettings settings,
            Supplier<Object> stateDump,
            Runnable startDrain) {
        mControl = control;
        mSettings = settings;
        mStateDump = stateDump;
        mStartDrain = startDrain;
    }

    /** Starts the HTTP server and returns its port; must be called on the control context. */
    public CompletableFuture<Integer> listen(Vertx vertx) {
        return vertx.createHttpServer()
                .requestHandler(createRouter(vertx))
                .listen(mSettings.adminPort(), mSettings.host())
                .map(HttpServer::actualPort)
                .toCompletionStage()
                .toCompletableFuture();
    }

    private Router createRouter(Vertx vertx) {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        router.get(BASE_PATH + "/inventory")
                .handler(requireRole(OperatorRole.READ, this::getInventory));
        router.put(BASE_PATH + "/inventory")
                .handler(requireRole(OperatorRole.OPERATE, this::putInventory));
        router.get(BASE_PATH + "/keys").handler(requireRole(OperatorRole.READ, this::listKeys));
        router.post(BASE_PATH + "/keys").handler(requireRole(OperatorRole.OPERATE, this::issueKey));
        router.delete(BASE_PATH + "/keys/:id")
                .handler(requireRole(OperatorRole.OPERATE, this::withdrawKey));
        router.get(BASE_PATH + "/operators")
                .handler(requireRole(OperatorRole.READ, this::listOperators));
        router.post(BASE_PATH + "/operators")
                .handler(requireRole(OperatorRole.OPERATE, this::issueToken));
        router.delete(BASE_PATH + "/operators/:name")
                .handler(requireRole(OperatorRole.OPERATE, this::withdrawToken));
        router.get(BASE_PATH + "/changes")
                .handler(requireRole(OperatorRole.READ, this::listChanges));
        router.get(BASE_PATH + "/changes/status")
                .handler(requireRole(OperatorRole.READ, this::changeStatus));
        router.get(BASE_PATH + "/instances")
                .handler(requireRole(OperatorRole.READ, this::listInstances));
        router.post(BASE_PATH + "/drain").handler(requireRole(OperatorRole.OPERATE, this::drain));
        router.get(BASE_PATH + "/dump").handler(requireRole(OperatorRole.READ, this::dump));
        router.route()
                .handler(
                        context ->
                                sendError(
                                        context,
                                        404,
                                        "unknown_path",
                                        "The path is unknown or does not support the method. See"
                                                + " the administration API page.",
                                        List.of()));
        return router;
    }

    /**
     * Wraps a handler: rejects requests without a valid credential or without the required role,
     * and converts exceptions of the handler to error responses.
     */
    private Handler<RoutingContext> requireRole(
            OperatorRole role, Handler<RoutingContext> handler) {
        return context -> {
            Optional<OperatorCredential> operator = authenticate(context);
            if (operator.isEmpty()) {
                sendError(
                        context,
                        401,
                        "credential_invalid",
                        "Send an operator's token as 'Authorization: Bearer TOKEN'.",
                        List.of());
                return;
            }
            if (role == OperatorRole.OPERATE && operator.get().role() != OperatorRole.OPERATE) {
                sendError(
                        context,
                        403,
                        "role_missing",
                        "The request requires the role 'operate'. Use another credential.",
                        List.of());
                return;
            }
            context.put(OPERATOR_NAME_KEY, operator.get().name());
            try {
                handler.handle(context);
            } catch (RuntimeException e) {
                sendError(context, e);
            }
        };
    }

    private Optional<OperatorCredential> authenticate(RoutingContext context) {
        String header = context.request().getHeader("authorization");
        if (header == null || !header.startsWith("Bearer ")) {
            return Optional.empty();
        }
        String token = header.substring("Bearer ".length()).trim();
        Stream<OperatorCredential> configured =
                mControl.snapshot().configuration().all(Operator.class).stream()
                        .map(OperatorCredential::from);
        return Stream.concat(mSettings.operators().stream(), configured)
                .filter(operator -> operator.accepts(token))
                .findFirst();
    }

    private void getInventory(RoutingContext context) {
        Configuration configuration = mControl.snapshot().configuration();
        context.response()
                .putHeader("etag", Long.toString(configuration.revision()))
                .putHeader("content-type", "application/yaml")
                .end(Inventory.from(configuration).toYaml());
    }

    private void putInventory(RoutingContext context) {
        Inventory inventory = Inventory.parse(context.body().asString());
        boolean dryRun = "true".equals(context.request().getParam("dryRun"));
        if (dryRun) {
            List<Edit> edits = mControl.changes().preview(inventory::editsFrom);
            sendJson(context, 200, new PreviewResponse(edits));
            return;
        }
        applyChange(
                context,
                inventory::editsFrom,
                revision -> new AcceptedResponse(revision, "accepted"),
                "inventory");
    }

    private void applyChange(
            RoutingContext context,
            Function<Configuration, List<Edit>> editor,
            Function<Long, Object> responseBody,
            String auditText) {
        String author = context.get(OPERATOR_NAME_KEY);
        mControl.changes()
                .commit(author, expectedRevision(context), editor)
                .subscribe()
                .with(
                        revision -> {
                            LOG.info(
                                    "A change by an operator was accepted.",
                                    LogField.of("operator", author),
                                    LogField.of("what", auditText),
                                    LogField.of("revision", revision));
                            sendJson(context, 200, responseBody.apply(revision));
                        },
                        failure -> sendError(context, failure));
    }

    private static long expectedRevision(RoutingContext context) {
        String ifMatch = context.request().getHeader("if-match");
        if (ifMatch == null) {
            return ChangeService.ANY_REVISION;
        }
        try {
            return Long.parseLong(ifMatch.replace("\"", ""));
        } catch (NumberFormatException e) {
            throw new InvalidValueException(
                    "If-Match must be a configuration revision, as returned in the ETag header.");
        }
    }

    private void issueKey(RoutingContext context) {
        NewKeyRequest request = Json.read(context.body().asString(), NewKeyRequest.class);
        if (request.account() == null) {
            throw new InvalidValueException("account: is missing. Specify a client account.");
        }
        IssuedKey issued = IssuedKey.create(request.account());
        applyChange(
                context,
                configuration -> List.of(new Edit.Put(issued.key())),
                revision ->
                        new IssuedKeyResponse(
                                issued.key().id().value(), issued.plainText(), revision),
                "key " + issued.key().id() + " issued");
    }

    private void withdrawKey(RoutingContext context) {
        EntityKey key = EntityKey.of(EntityKind.KEY, context.pathParam("id"));
        applyChange(
                context,
                configuration -> {
                    if (configuration.find(key).isEmpty()) {
                        throw new InvalidValueException(
                                "There is no such key. It may have been withdrawn already.");
                    }
                    return List.of(new Edit.Remove(key));
                },
                revision -> new AcceptedResponse(revision, "withdrawn"),
                key + " withdrawn");
    }

    /** Issues a token to an operator; it replaces a token that was issued to the same name. */
    private void issueToken(RoutingContext context) {
        NewOperatorRequest request = Json.read(context.body().asString(), NewOperatorRequest.class);
        if (request.name() == null || request.role() == null) {
            throw new InvalidValueException(
                    "name, role: both are required. The role is READ or OPERATE.");
        }
        IssuedToken issued = IssuedToken.create(request.name(), request.role());
        applyChange(
                context,
                configuration -> List.of(new Edit.Put(issued.operator())),
                revision -> new IssuedTokenResponse(request.name(), issued.plainText(), revision),
                "token of " + request.name() + " issued");
    }

    private void withdrawToken(RoutingContext context) {
        EntityKey key = EntityKey.of(EntityKind.OPERATOR, context.pathParam("name"));
        applyChange(
                context,
                configuration -> {
                    if (configuration.find(key).isEmpty()) {
                        throw new InvalidValueException(
                                "There is no such operator in the configuration. Those in an"
                                        + " instance's settings must be removed there.");
                    }
                    return List.of(new Edit.Remove(key));
                },
                revision -> new AcceptedResponse(revision, "withdrawn"),
                key + " withdrawn");
    }

    private void listOperators(RoutingContext context) {
        List<OperatorSummary> operators =
                mControl.snapshot().configuration().all(Operator.class).stream()
                        .map(operator -> new OperatorSummary(operator.name(), operator.role()))
                        .toList();
        sendJson(context, 200, operators);
    }

    private void listKeys(RoutingContext context) {
        String after = Optional.ofNullable(context.request().getParam("after")).orElse("");
        String account = context.request().getParam("account");
        List<KeySummary> keys =
                mControl.snapshot().configuration().all(ApiKey.class).stream()
                        .filter(key -> key.id().value().compareTo(after) > 0)
                        .filter(key -> account == null || key.account().value().equals(account))
                        .limit(pageSize(context))
                        .map(key -> new KeySummary(key.id().value(), key.account().value()))
                        .toList();
        sendJson(context, 200, keys);
    }

    private static int pageSize(RoutingContext context) {
        String limit = context.request().getParam("limit");
        if (limit == null) {
            return DEFAULT_PAGE_SIZE;
        }
        try {
            return Math.max(1, Math.min(MAX_PAGE_SIZE, Integer.parseInt(limit)));
        } catch (NumberFormatException e) {
            throw new InvalidValueException("limit must be an integer from 1 to " + MAX_PAGE_SIZE);
        }
    }

    private void listChanges(RoutingContext context) {
        List<Change> changes = mControl.recentChanges();
        int size = pageSize(context);
        sendJson(context, 200, changes.subList(Math.max(0, changes.size() - size), changes.size()));
    }

    /** Reports on how many instances a revision is in force and which ones lag behind. */
    private void changeStatus(RoutingContext context) {
        String requestedRevision = context.request().getParam("revision");
        long revision =
                requestedRevision == null
                        ? mControl.snapshot().configuration().revision()
                        : Long.parseLong(requestedRevision);
        ControlState state = mControl.state();
        mControl.requestRevisions();
        List<ControlState.MemberRevision> reachable =
                state.revisions().stream()
                        .filter(member -> member.state() != MemberState.DEAD)
                        .toList();
        List<ControlState.MemberRevision> lagging =
                reachable.stream().filter(member -> member.revision() < revision).toList();
        List<String> unreachable =
                state.revisions().stream()
                        .filter(member -> member.state() == MemberState.DEAD)
                        .map(member -> member.id().value())
                        .toList();
        sendJson(
                context,
                200,
                new ChangeStatusResponse(
                        revision,
                        lagging.isEmpty(),
                        reachable.size() - lagging.size(),
                        lagging.stream().map(member -> member.id().value()).toList(),
                        unreachable));
    }

    private void listInstances(RoutingContext context) {
        sendJson(context, 200, mControl.state().members());
    }

    private void drain(RoutingContext context) {
        LOG.info(
                "An operator started to drain this instance.",
                LogField.of("operator", context.<String>get(OPERATOR_NAME_KEY)));
        sendJson(context, 202, new AcceptedResponse(0, "draining"));
        mStartDrain.run();
    }

    private void dump(RoutingContext context) {
        context.response()
                .putHeader("content-type", "application/json")
                .end(Json.writeIndented(mStateDump.get()));
    }

    private static void sendJson(RoutingContext context, int status, Object responseBody) {
        context.response()
                .setStatusCode(status)
                .putHeader("content-type", "application/json")
                .end(Json.write(responseBody));
    }

    private static void sendError(RoutingContext context, Throwable failure) {
        if (failure instanceof ChangeRejectedException rejected) {
            int status =
                    switch (rejected.kind()) {
                        case INVALID -> 422;
                        case CONFLICT -> 412;
                        default -> 503;
                    };
            String code = rejected.kind().name().toLowerCase(Locale.ROOT);
            sendError(context, status, code, rejected.getMessage(), rejected.problems());
        } else if (failure instanceof InvalidValueException
                || failure instanceof NumberFormatException) {
            sendError(context, 400, "invalid", failure.getMessage(), List.of());
        } else {
            LOG.warn("An administration request failed.", LogField.of("error", failure));
            sendError(
                    context,
                    500,
                    "internal_error",
                    "An internal error occurred while processing the request. Retry later.",
                    List.of());
        }
    }

    private static void sendError(
            RoutingContext context,
            int status,
            String code,
            String message,
            List<String> problems) {
        ObjectNode error = Json.MAPPER.createObjectNode();
        error.put("code", code);
        error.put("message", message);
        error.set("problems", Json.MAPPER.valueToTree(problems));
        ObjectNode body = Json.MAPPER.createObjectNode();
        body.set("error", error);
        context.response()
                .setStatusCode(status)
                .putHeader("content-type", "application/json")
                .end(body.toString());
    }

    private record NewKeyRequest(AccountId account) {}

    private record IssuedKeyResponse(String id, String key, long revision) {}

    private record KeySummary(String id, String account) {}

    private record NewOperatorRequest(String name, OperatorRole role) {}

    private record IssuedTokenResponse(String name, String token, long revision) {}

    private record OperatorSummary(String name, OperatorRole role) {}

    private record AcceptedResponse(long revision, String state) {}

    private record PreviewResponse(List<Edit> edits) {}

    private record ChangeStatusResponse(
            long revision,
            boolean inForceEverywhere,
            int inForce,
            List<String> lagging,
            List<String> unreachable) {}
}
