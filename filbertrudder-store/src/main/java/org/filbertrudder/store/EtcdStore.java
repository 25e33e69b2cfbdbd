package org.filbertrudder.store;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.JsonParser;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.filbertrudder.model.StoreEra;

/** Accesses the store through the JSON gateway of the etcd v3 API over HTTP. */
public final class EtcdStore implements WatchableStore {

    private static final int MAX_SUCCESS_STATUS = 299;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_UNAVAILABLE = 503;

    private final WebClient mClient;
    private final HttpClient mWatchClient;
    private final String mHost;
    private final int mPort;
    private final long mTimeoutMs;
    private final AtomicLong mReads = new AtomicLong();
    private final AtomicLong mWrites = new AtomicLong();
    private final AtomicLong mWatches = new AtomicLong();
    private final AtomicLong mFailures = new AtomicLong();

    /**
     * Creates a client for the store at the address; the timeout in milliseconds applies to
     * connecting and to each call except watches.
     */
    public EtcdStore(Vertx vertx, String host, int port, long timeoutMs) {
        mClient =
                WebClient.create(
                        io.vertx.mutiny.core.Vertx.newInstance(vertx),
                        new WebClientOptions().setConnectTimeout((int) timeoutMs));
        mWatchClient =
                vertx.createHttpClient(new HttpClientOptions().setConnectTimeout((int) timeoutMs));
        mHost = host;
        mPort = port;
        mTimeoutMs = timeoutMs;
    }

    @Override
    public Uni<List<KeyValue>> get(String key) {
        mReads.incrementAndGet();
        return call("/v3/kv/range", new JsonObject().put("key", encode(key)))
                .map(response -> keyValues(response.getJsonArray("kvs")));
    }

    @Override
    public Uni<StoreListing> list(String prefix) {
        mReads.incrementAndGet();
        return call("/v3/kv/range", prefixRange(prefix))
                .map(response -> keyValues(response.getJsonArray("kvs")))
                .map(found -> new StoreListing(StoreEra.UNREPORTED, found));
    }

    @Override
    public Uni<List<KeyValue>> listFrom(String fromKey, String prefix) {
        mReads.incrementAndGet();
        return call("/v3/kv/range", prefixRange(prefix).put("key", encode(fromKey)))
                .map(response -> keyValues(response.getJsonArray("kvs")));
    }

    @Override
    public Uni<StoreLease> grantLease(long seconds) {
        mWrites.incrementAndGet();
        return call("/v3/lease/grant", new JsonObject().put("TTL", Long.toString(seconds)))
                .map(response -> Long.parseLong(response.getString("ID")))
                .map(id -> new StoreLease(id, StoreEra.UNREPORTED));
    }

    @Override
    public Uni<Boolean> renewLease(StoreLease lease) {
        mWrites.incrementAndGet();
        return call("/v3/lease/keepalive", new JsonObject().put("ID", Long.toString(lease.id())))
                .map(response -> response.getJsonObject("result", response))
                .map(result -> Long.parseLong(result.getString("TTL", "0")) > 0);
    }

    @Override
    public Uni<Void> revokeLease(StoreLease lease) {
        mWrites.incrementAndGet();
        return call("/v3/lease/revoke", new JsonObject().put("ID", Long.toString(lease.id())))
                .replaceWithVoid();
    }

    @Override
    public Uni<TransactionResult> commit(Transaction transaction) {
        mWrites.incrementAndGet();
        return call("/v3/kv/txn", requestBody(transaction)).map(EtcdStore::transactionResult);
    }

    private static JsonObject requestBody(Transaction transaction) {
        JsonArray compares = new JsonArray();
        for (Transaction.Compare compare : transaction.compares()) {
            compares.add(
                    new JsonObject()
                            .put("key", encode(compare.key()))
                            .put("target", "MOD")
                            .put("result", "EQUAL")
                            .put("mod_revision", Long.toString(compare.modRevision())));
        }
        JsonArray onSuccess = new JsonArray();
        for (Transaction.Put put : transaction.puts()) {
            JsonObject request =
                    new JsonObject()
                            .put("key", encode(put.key()))
                            .put("value", encode(put.value()));
            if (put.lease() != 0) {
                request.put("lease", Long.toString(put.lease()));
            }
            onSuccess.add(new JsonObject().put("request_put", request));
        }
        for (String key : transaction.deletes()) {
            JsonObject delete = new JsonObject().put("key", encode(key));
            onSuccess.add(new JsonObject().put("request_delete_range", delete));
        }
        JsonArray onConflict = new JsonArray();
        for (String key : transaction.reads()) {
            JsonObject read = new JsonObject().put("key", encode(key));
            onConflict.add(new JsonObject().put("request_range", read));
        }
        return new JsonObject()
                .put("compare", compares)
                .put("success", onSuccess)
                .put("failure", onConflict);
    }

    private static TransactionResult transactionResult(JsonObject response) {
        boolean succeeded = Boolean.TRUE.equals(response.getBoolean("succeeded"));
        List<KeyValue> currentValues = new ArrayList<>();
        JsonArray responses = response.getJsonArray("responses", new JsonArray());
        for (int i = 0; !succeeded && i < responses.size(); i++) {
            JsonObject read = responses.getJsonObject(i).getJsonObject("response_range");
            if (read != null) {
                currentValues.addAll(keyValues(read.getJsonArray("kvs")));
            }
        }
        return new TransactionResult(StoreEra.UNREPORTED, 0, succeeded, currentValues);
    }

    private Uni<JsonObject> call(String path, JsonObject body) {
        return mClient.post(mPort, mHost, path)
                .timeout(mTimeoutMs)
                .sendJsonObject(body)
                .onFailure()
                .transform(EtcdStore::noResponseFailure)
                .map(EtcdStore::successBody)
                .onFailure()
                .invoke(failure -> mFailures.incrementAndGet());
    }

    private static JsonObject successBody(HttpResponse<Buffer> response) {
        int status = response.statusCode();
        if (status <= MAX_SUCCESS_STATUS) {
            return jsonBody(response);
        }
        boolean rejectedUnexecuted =
                status == STATUS_TOO_MANY_REQUESTS || status == STATUS_UNAVAILABLE;
        throw new StoreException(
                rejectedUnexecuted
                        ? StoreException.Kind.NOT_DONE
                        : StoreException.Kind.OUTCOME_UNKNOWN,
                "The store responded with HTTP status " + status + ". Retry later.",
                null);
    }

    /** Returns the body; one that ends with its connection may have been cut. */
    private static JsonObject jsonBody(HttpResponse<Buffer> response) {
        DecodeException cause = null;
        try {
            JsonObject body = response.bodyAsJsonObject();
            if (body != null) {
                return body;
            }
        } catch (DecodeException e) {
            cause = e;
        }
        throw new StoreException(
                StoreException.Kind.OUTCOME_UNKNOWN,
                "The store sent no complete response. Check that the store is running.",
                cause);
    }

    private static StoreException noResponseFailure(Throwable failure) {
        boolean notConnected = failure instanceof ConnectException;
        return new StoreException(
                notConnected ? StoreException.Kind.NOT_DONE : StoreException.Kind.OUTCOME_UNKNOWN,
                "The store sent no response ("
                        + failure.getMessage()
                        + "). Check that the store is running.",
                failure);
    }

    @Override
    public Runnable watch(String prefix, Consumer<KeyValue> onPut, Runnable onEnd) {
        mWatches.incrementAndGet();
        AtomicBoolean ended = new AtomicBoolean();
        Runnable notifyEnd =
                () -> {
                    if (ended.compareAndSet(false, true)) {
                        onEnd.run();
                    }
                };
        JsonObject body = new JsonObject().put("create_request", prefixRange(prefix));
        Runnable[] cancel = {() -> ended.set(true)};
        mWatchClient
                .request(HttpMethod.POST, mPort, mHost, "/v3/watch")
                .compose(request -> request.send(body.toBuffer()))
                .onFailure(failure -> notifyEnd.run())
                .onSuccess(
                        response -> {
                            JsonParser parser = JsonParser.newParser(response).objectValueMode();
                            parser.exceptionHandler(failure -> notifyEnd.run());
                            parser.handler(event -> notifyPuts(event.objectValue(), onPut));
                            parser.endHandler(done -> notifyEnd.run());
                            response.request().connection().closeHandler(done -> notifyEnd.run());
                            cancel[0] = () -> response.request().reset();
                        });
        return () -> {
            ended.set(true);
            cancel[0].run();
        };
    }

    private static void notifyPuts(JsonObject watchMessage, Consumer<KeyValue> onPut) {
        JsonObject result = watchMessage.getJsonObject("result", watchMessage);
        JsonArray events = result.getJsonArray("events", new JsonArray());
        for (int i = 0; i < events.size(); i++) {
            JsonObject event = events.getJsonObject(i);
            if (!"DELETE".equals(event.getString("type"))) {
                onPut.accept(keyValue(event.getJsonObject("kv")));
            }
        }
    }

    @Override
    public StoreEra era() {
        return StoreEra.UNREPORTED;
    }

    @Override
    public StoreCallCounts callCounts() {
        return new StoreCallCounts(mReads.get(), mWrites.get(), mWatches.get(), mFailures.get());
    }

    private static JsonObject prefixRange(String prefix) {
        byte[] rangeEnd = prefix.getBytes(StandardCharsets.UTF_8);
        rangeEnd[rangeEnd.length - 1]++;
        return new JsonObject()
                .put("key", encode(prefix))
                .put("range_end", Base64.getEncoder().encodeToString(rangeEnd));
    }

    private static List<KeyValue> keyValues(JsonArray array) {
        List<KeyValue> keyValues = new ArrayList<>();
        for (int i = 0; array != null && i < array.size(); i++) {
            keyValues.add(keyValue(array.getJsonObject(i)));
        }
        return keyValues;
    }

    private static KeyValue keyValue(JsonObject json) {
        return new KeyValue(
                decode(json.getString("key")),
                decode(json.getString("value", "")),
                Long.parseLong(json.getString("create_revision", "0")),
                Long.parseLong(json.getString("mod_revision", "0")));
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
    }
}
