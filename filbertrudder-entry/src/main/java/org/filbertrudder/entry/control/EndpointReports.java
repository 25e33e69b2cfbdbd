package org.filbertrudder.entry.control;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.Endpoint;

/** Requests what endpoints report about themselves, with limits on the time and the size. */
public final class EndpointReports {

    private static final ComponentLogger LOG = ComponentLogger.of("endpoints");

    /** The longest report that is read, in bytes. */
    static final int MAX_BYTES = 1024 * 1024;

    private static final int STATUS_OK = 200;

    private final Vertx mVertx;
    private final HttpClient mClient;
    private final long mTimeoutMs;

    /** Creates an object that gives up a report after a time in milliseconds. */
    public EndpointReports(Vertx vertx, HttpClient client, long timeoutMs) {
        mVertx = vertx;
        mClient = client;
        mTimeoutMs = timeoutMs;
    }

    /** Requests a report; fails if it is not complete in time, too long or not successful. */
    public Future<Buffer> request(Endpoint endpoint, String uri) {
        Promise<Buffer> report = Promise.promise();
        mClient.request(HttpMethod.GET, endpoint.port(), endpoint.host(), uri)
                .onFailure(report::tryFail)
                .onSuccess(request -> read(request, report));
        return report.future()
                .onFailure(
                        failure ->
                                LOG.debug(
                                        "A report of an endpoint cannot be read.",
                                        LogField.of("endpoint", endpoint.id()),
                                        LogField.of("uri", uri),
                                        LogField.of("error", failure.getMessage())));
    }

    private void read(HttpClientRequest request, Promise<Buffer> report) {
        long timer = mVertx.setTimer(mTimeoutMs, ignored -> abort(request, report, "too late"));
        report.future().onComplete(ignored -> mVertx.cancelTimer(timer));
        request.exceptionHandler(report::tryFail);
        request.send()
                .onFailure(report::tryFail)
                .onSuccess(response -> read(request, response, report));
    }

    private static void read(
            HttpClientRequest request, HttpClientResponse response, Promise<Buffer> report) {
        Buffer body = Buffer.buffer();
        response.exceptionHandler(report::tryFail);
        response.handler(
                data -> {
                    if (body.length() + data.length() > MAX_BYTES) {
                        abort(request, report, "too long");
                    } else {
                        body.appendBuffer(data);
                    }
                });
        response.endHandler(
                ignored -> {
                    if (response.statusCode() == STATUS_OK) {
                        report.tryComplete(body);
                    } else {
                        report.tryFail("status " + response.statusCode());
                    }
                });
    }

    private static void abort(HttpClientRequest request, Promise<Buffer> report, String reason) {
        report.tryFail("the report is " + reason);
        request.reset();
    }
}
