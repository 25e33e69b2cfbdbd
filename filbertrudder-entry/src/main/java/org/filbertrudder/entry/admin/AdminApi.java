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
import org.filbertrudder.entry.log.Field;
import org.filbertrudder.entry.log.PartLog;
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

/** Serves the HTTP API for operators on the control thread. */
public final class AdminApi {

    private static final PartLog LOG = PartLog.of("audit");
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;
    private static final int DEFAULT_PAGE = 100;
    private static final int MAX_PAGE = 1_000;
    private static final String OPERATOR = "operator";
    private static final String BASE = "/admin/v1";

    private final ControlLoop mControl;
    private final EntrySettings mSettings;
    private final Supplier<Object> mDump;
    private final Runnable mDrain;

    /** Creates the API; the dump and the drain are provided by the instance. */
    public AdminApi(
            ControlLoop control, EntrySettings settings, Supplier<Object> dump, Runnable drain) {
        mControl = control;
        mSettings = settings;
        mDump = dump;
        mDrain = drain;
    }

    /** Starts to listen; must be called on the control context. */
    public CompletableFuture<Integer> listen(Vertx vertx) {
        return vertx.createHttpServer()
                .requestHandler(router(vertx))
                .listen(mSettings.adminPort(), mSettings.host())
                .map(HttpServer::actualPort)
                .toCompletionStage()
                .toCompletableFuture();
    }

    private Router router(Vertx vertx) {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        router.get(BASE + "/inventory").handler(as(OperatorRole.READ, this::getInventory));
        router.put(BASE + "/inventory").handler(as(OperatorRole.OPERATE, this::putInventory));
        router.get(BASE + "/keys").handler(as(OperatorRole.READ, this::listKeys));
        router.post(BASE + "/keys").handler(as(OperatorRole.OPERATE, this::issueKey));
        router.delete(BASE + "/keys/:id").handler(as(OperatorRole.OPERATE, this::withdrawKey));
        router.get(BASE + "/operators").handler(as(OperatorRole.READ, this::listOperators));
        router.post(BASE + "/operators").handler(as(OperatorRole.OPERATE, this::issueToken));
        router.delete(BASE + "/operators/:name")
                .handler(as(OperatorRole.OPERATE, this::withdrawToken));
        router.get(BASE + "/changes").handler(as(OperatorRole.READ, this::listChanges));
        router.get(BASE + "/changes/status").handler(as(OperatorRole.READ, this::changeStatus));
        router.get(BASE + "/instances").handler(as(OperatorRole.READ, this::listInstances));
        router.post(BASE + "/drain").handler(as(OperatorRole.OPERATE, this::drain));
        router.get(BASE + "/dump").handler(as(OperatorRole.READ, this::dump));
        router.route()
                .handler(
                        context ->
                                fail(
                                        context,
                                        404,
                                        "unknown_path",
                                        "There is nothing here. See the administration API page.",
                                        List.of()));
        return router;
    }

    /** Lets only operators with the role through, and answers their errors. */
    private Handler<RoutingContext> as(OperatorRole role, Handler<RoutingContext> handler) {
        return context -> {
            Optional<OperatorCredential> operator = operator(context);
            if (operator.isEmpty()) {
                fail(
                        context,
                        401,
                        "credential_invalid",
                        "Send an operator's token as 'Authorization: Bearer TOKEN'.",
                        List.of());
                return;
            }
            if (role == OperatorRole.OPERATE && operator.get().role() != OperatorRole.OPERATE) {
                fail(
                        context,
                        403,
                        "role_missing",
                        "This needs the role 'operate'. Use another credential.",
                        List.of());
                return;
            }
            context.put(OPERATOR, operator.get().name());
            try {
                handler.handle(context);
            } catch (RuntimeException e) {
                fail(context, e);
            }
        };
    }

    private Optional<OperatorCredential> operator(RoutingContext context) {
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
            send(context, 200, new Preview(edits));
            return;
        }
        accept(
                context,
                inventory::editsFrom,
                revision -> new Accepted(revision, "accepted"),
                "inventory");
    }

    private void accept(
            RoutingContext context,
            Function<Configuration, List<Edit>> editor,
            Function<Long, Object> answer,
            String what) {
        String author = context.get(OPERATOR);
        mControl.changes()
                .accept(author, expectedRevision(context), editor)
                .subscribe()
                .with(
                        revision -> {
                            LOG.info(
                                    "An operator made a change.",
                                    Field.of("operator", author),
                                    Field.of("what", what),
                                    Field.of("revision", revision));
                            send(context, 200, answer.apply(revision));
                        },
                        failure -> fail(context, failure));
    }

    private static long expectedRevision(RoutingContext context) {
        String match = context.request().getHeader("if-match");
        if (match == null) {
            return ChangeService.ANY_REVISION;
        }
        try {
            return Long.parseLong(match.replace("\"", ""));
        } catch (NumberFormatException e) {
            throw new InvalidValueException("If-Match must be a revision, as in the ETag.");
        }
    }

    private void issueKey(RoutingContext context) {
        NewKey request = Json.read(context.body().asString(), NewKey.class);
        if (request.account() == null) {
            throw new InvalidValueException("account: is missing. Name a client account.");
        }
        IssuedKey issued = IssuedKey.create(request.account());
        accept(
                context,
                configuration -> List.of(new Edit.Put(issued.key())),
                revision -> new KeyAnswer(issued.key().id().value(), issued.text(), revision),
                "key " + issued.key().id() + " issued");
    }

    private void withdrawKey(RoutingContext context) {
        EntityKey key = EntityKey.of(EntityKind.KEY, context.pathParam("id"));
        accept(
                context,
                configuration -> {
                    if (configuration.find(key).isEmpty()) {
                        throw new InvalidValueException(
                                "There is no such key. It may have been withdrawn already.");
                    }
                    return List.of(new Edit.Remove(key));
                },
                revision -> new Accepted(revision, "withdrawn"),
                key + " withdrawn");
    }

    /** Issues a token to an operator; one who has a token already gets another instead. */
    private void issueToken(RoutingContext context) {
        NewOperator request = Json.read(context.body().asString(), NewOperator.class);
        if (request.name() == null || request.role() == null) {
            throw new InvalidValueException("name, role: are needed. The role is READ or OPERATE.");
        }
        IssuedToken issued = IssuedToken.create(request.name(), request.role());
        accept(
                context,
                configuration -> List.of(new Edit.Put(issued.operator())),
                revision -> new TokenAnswer(request.name(), issued.text(), revision),
                "token of " + request.name() + " issued");
    }

    private void withdrawToken(RoutingContext context) {
        EntityKey key = EntityKey.of(EntityKind.OPERATOR, context.pathParam("name"));
        accept(
                context,
                configuration -> {
                    if (configuration.find(key).isEmpty()) {
                        throw new InvalidValueException(
                                "There is no such operator in the configuration. Those in an"
                                        + " instance's settings are changed there.");
                    }
                    return List.of(new Edit.Remove(key));
                },
                revision -> new Accepted(revision, "withdrawn"),
                key + " withdrawn");
    }

    private void listOperators(RoutingContext context) {
        List<OperatorSummary> operators =
                mControl.snapshot().configuration().all(Operator.class).stream()
                        .map(operator -> new OperatorSummary(operator.name(), operator.role()))
                        .toList();
        send(context, 200, operators);
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
        send(context, 200, keys);
    }

    private static int pageSize(RoutingContext context) {
        String limit = context.request().getParam("limit");
        if (limit == null) {
            return DEFAULT_PAGE;
        }
        try {
            return Math.max(1, Math.min(MAX_PAGE, Integer.parseInt(limit)));
        } catch (NumberFormatException e) {
            throw new InvalidValueException("limit must be a whole number from 1 to " + MAX_PAGE);
        }
    }

    private void listChanges(RoutingContext context) {
        List<Change> changes = mControl.recentChanges();
        int size = pageSize(context);
        send(context, 200, changes.subList(Math.max(0, changes.size() - size), changes.size()));
    }

    /** Tells where a revision is in force and names the instances that lag behind. */
    private void changeStatus(RoutingContext context) {
        String asked = context.request().getParam("revision");
        long revision =
                asked == null
                        ? mControl.snapshot().configuration().revision()
                        : Long.parseLong(asked);
        ControlState state = mControl.state();
        mControl.askRevisions();
        List<ControlState.MemberRevision> present =
                state.revisions().stream()
                        .filter(member -> member.state() != MemberState.DEAD)
                        .toList();
        List<ControlState.MemberRevision> lagging =
                present.stream().filter(member -> member.revision() < revision).toList();
        List<String> unreachable =
                state.revisions().stream()
                        .filter(member -> member.state() == MemberState.DEAD)
                        .map(member -> member.id().value())
                        .toList();
        send(
                context,
                200,
                new ChangeStatus(
                        revision,
                        lagging.isEmpty(),
                        present.size() - lagging.size(),
                        lagging.stream().map(member -> member.id().value()).toList(),
                        unreachable));
    }

    private void listInstances(RoutingContext context) {
        send(context, 200, mControl.state().members());
    }

    private void drain(RoutingContext context) {
        LOG.info(
                "An operator drains this instance.",
                Field.of("operator", context.<String>get(OPERATOR)));
        send(context, 202, new Accepted(0, "draining"));
        mDrain.run();
    }

    private void dump(RoutingContext context) {
        context.response()
                .putHeader("content-type", "application/json")
                .end(Json.writeIndented(mDump.get()));
    }

    private static void send(RoutingContext context, int status, Object answer) {
        context.response()
                .setStatusCode(status)
                .putHeader("content-type", "application/json")
                .end(Json.write(answer));
    }

    private static void fail(RoutingContext context, Throwable failure) {
        if (failure instanceof ChangeRejectedException rejected) {
            int status =
                    switch (rejected.kind()) {
                        case INVALID -> 422;
                        case CONFLICT -> 412;
                        default -> 503;
                    };
            String code = rejected.kind().name().toLowerCase(Locale.ROOT);
            fail(context, status, code, rejected.getMessage(), rejected.problems());
        } else if (failure instanceof InvalidValueException
                || failure instanceof NumberFormatException) {
            fail(context, 400, "invalid", failure.getMessage(), List.of());
        } else {
            LOG.warn("A request failed.", Field.of("error", failure));
            fail(context, 500, "internal_error", "The request met a fault here.", List.of());
        }
    }

    private static void fail(
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

    private record NewKey(AccountId account) {}

    private record KeyAnswer(String id, String key, long revision) {}

    private record KeySummary(String id, String account) {}

    private record NewOperator(String name, OperatorRole role) {}

    private record TokenAnswer(String name, String token, long revision) {}

    private record OperatorSummary(String name, OperatorRole role) {}

    private record Accepted(long revision, String state) {}

    private record Preview(List<Edit> edits) {}

    private record ChangeStatus(
            long revision,
            boolean inForceEverywhere,
            int inForce,
            List<String> lagging,
            List<String> unreachable) {}
}
