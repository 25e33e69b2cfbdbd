package org.filbertrudder.gateway.traffic;

import io.vertx.core.AbstractVerticle;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.entry.traffic.HeadBudgetHandler;
import org.filbertrudder.entry.traffic.HeadRefusals;
import org.filbertrudder.gateway.GatewaySettings;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewayControl;
import org.filbertrudder.gateway.control.GatewaySnapshot;
import org.filbertrudder.model.Json;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.peer.forwarding.HeldBytes;
import org.filbertrudder.policy.membership.InstanceSubsetSelector;
import org.filbertrudder.policy.membership.PeerAddress;

/**
 * Serves readiness checks, the directory of instances for callers, metrics, the state dump and the
 * blocked prompt parts.
 */
public final class ManagementVerticle extends AbstractVerticle {

    private static final ComponentLogger LOG = ComponentLogger.of("directory");
    private static final String METRICS_PATH = "/metrics";
    private static final String DUMP_PATH = "/dump";
    private static final String BLOCKED_PARTS_PATH = "/blocked-parts";

    /**
     * How long callers may use a directory response, in milliseconds; limits how long they miss
     * that an instance is stopping.
     */
    private static final long DIRECTORY_VALID_MS = 2_000;

    /** The longest head that is accepted, in bytes; nothing here needs a long one. */
    private static final int MAX_HEAD_BYTES = 8 * 1024;

    /** One of so many parts of the heap may hold the heads of one server. */
    private static final int HEAD_HEAP_PARTS = 64;

    /** Covers slow networks; heads without end would hold the memory of others without a limit. */
    private static final long HEAD_TIMEOUT_MS = 10_000;

    private final GatewaySettings mSettings;
    private final GatewayControl mControl;
    private final HttpProtocol mProtocol;
    private final GatewayMetrics mMetrics;
    private final GatewayTrafficVerticle mTraffic;

    /** Creates the verticle; its servers start to listen when it is deployed. */
    public ManagementVerticle(
            GatewaySettings settings,
            GatewayControl control,
            HttpProtocol protocol,
            GatewayMetrics metrics,
            GatewayTrafficVerticle traffic) {
        mTraffic = traffic;
        mSettings = settings;
        mControl = control;
        mProtocol = protocol;
        mMetrics = metrics;
    }

    @Override
    public void start(Promise<Void> started) {
        listen(mSettings.readinessAddress())
                .compose(done -> listen(mSettings.directoryAddress()))
                .compose(
                        done ->
                                listen(
                                        new PeerAddress(
                                                mSettings.callerAddress().host(),
                                                mSettings.metricsPort())))
                .onComplete(started);
    }

    private Future<Void> listen(PeerAddress address) {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setMaxHeaderSize(MAX_HEAD_BYTES)
                        // Heads of HTTP/2 would not be counted.
                        .setHttp2ClearTextEnabled(false);
        // Each server has a bound of its own, so that load on one does not block another.
        HeldBytes heads = HeldBytes.ofHeapPart(HEAD_HEAP_PARTS);
        HeadRefusals refusals = new GatewayHeadRefusals(mProtocol, mMetrics, MAX_HEAD_BYTES);
        return vertx.createHttpServer(options)
                .connectionHandler(
                        connection ->
                                HeadBudgetHandler.install(
                                        connection,
                                        heads,
                                        MAX_HEAD_BYTES,
                                        HEAD_TIMEOUT_MS,
                                        refusals))
                .requestHandler(this::serve)
                .listen(address.port(), address.host())
                .mapEmpty();
    }

    private void serve(HttpServerRequest request) {
        String path = request.path();
        if (path.equals(mProtocol.readinessPath())) {
            request.response().setStatusCode(isReady() ? 200 : 503).end();
        } else if (path.equals(mProtocol.directoryPath())) {
            serveDirectory(request);
        } else if (path.equals(METRICS_PATH)) {
            request.response().end(mMetrics.toText());
        } else if (path.equals(BLOCKED_PARTS_PATH) && isOperatorPort(request)) {
            listBlockedParts(request);
        } else if (path.startsWith(BLOCKED_PARTS_PATH + "/") && isOperatorPort(request)) {
            allowPart(request, path.substring(BLOCKED_PARTS_PATH.length() + 1));
        } else if (path.equals(DUMP_PATH)) {
            mControl.collectState()
                    .thenAccept(state -> request.response().end(Json.writeIndented(state)));
        } else {
            request.response().setStatusCode(404).end();
        }
    }

    /** Returns whether a request arrived at the port that callers do not know. */
    private boolean isOperatorPort(HttpServerRequest request) {
        return request.localAddress().port() == mSettings.metricsPort();
    }

    private void listBlockedParts(HttpServerRequest request) {
        request.response()
                .putHeader("content-type", "application/json")
                .end(Json.writeIndented(mTraffic.blockedParts()));
    }

    private void allowPart(HttpServerRequest request, String part) {
        if (request.method() != HttpMethod.DELETE) {
            request.response().setStatusCode(405).end();
            return;
        }
        mTraffic.allowPart(part)
                .thenAccept(allowed -> request.response().setStatusCode(allowed ? 204 : 404).end());
    }

    private boolean isReady() {
        return mControl.ready().isDone() && !mControl.snapshot().isLeaving();
    }

    private void serveDirectory(HttpServerRequest request) {
        // Until the registered instances have been read once, only this instance is known.
        if (!mControl.ready().isDone()) {
            request.response().setStatusCode(503).end();
            return;
        }
        GatewaySnapshot snapshot = mControl.snapshot();
        DirectoryQuery query = mProtocol.readDirectoryQuery(request.params());
        RegionId region = query.region().map(RegionId::of).orElse(mSettings.region());
        List<PeerAddress> addresses =
                InstanceSubsetSelector.select(
                                query.placementKey(),
                                candidateInstances(snapshot, region, query.host()))
                        .stream()
                        .map(member -> new PeerAddress(member.host(), member.callerPort()))
                        .toList();
        if (addresses.isEmpty()) {
            request.response().setStatusCode(503).end();
            return;
        }
        request.response()
                .putHeader("content-type", "application/json")
                .end(mProtocol.formatDirectoryResponse(addresses, DIRECTORY_VALID_MS));
    }

    private List<Member> candidateInstances(
            GatewaySnapshot snapshot, RegionId region, String host) {
        DirectoryChoice choice =
                DirectoryChoice.of(
                        snapshot.configuration(), snapshot.acceptingByRegion(), region, host);
        if (!choice.inRegion()) {
            logReferral(snapshot, region, host, choice);
        }
        return choice.members();
    }

    private void logReferral(
            GatewaySnapshot snapshot, RegionId region, String host, DirectoryChoice choice) {
        GatewayConfiguration configuration = snapshot.configuration();
        LOG.info(
                choice.members().isEmpty()
                        ? "The directory has no instance to name."
                        : "The directory refers a caller to another region.",
                LogField.of("host", host),
                LogField.of("region", region),
                LogField.of("homes", choice.allowedRegions().orElse(null)),
                LogField.of("instances", choice.members().stream().map(Member::id).toList()),
                LogField.of("known", snapshot.members().size()),
                LogField.of("version", configuration == null ? null : configuration.version()),
                LogField.of("stateAgeMs", mControl.stateFreshness().ageMs(Clocks.now())));
    }
}
