package org.filbertrudder.entry.traffic;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.Endpoint;

/** Sends one request to an endpoint over HTTP. */
final class EndpointCall implements UpstreamCall {

    private static final ComponentLogger LOG = ComponentLogger.of("endpoints");
    private static final long CONNECT_TIMEOUT_MS = 1_000;
    private static final int MIN_FINAL_STATUS = 200;
    private static final int FIRST_UNSUCCESSFUL_STATUS = 300;
    private static final int MAX_STATUS = 599;

    private final UpstreamListener mListener;
    private final String mRequestId;
    private HttpClientRequest mRequest;
    private HttpClientResponse mResponse;
    private boolean mDone;
    private boolean mPaused;

    private EndpointCall(String requestId, UpstreamListener listener) {
        mRequestId = requestId;
        mListener = listener;
    }

    /** Starts a call; the listener receives the response unless the call is cancelled. */
    static EndpointCall start(
            HttpClient client,
            Endpoint endpoint,
            Exchange.Request request,
            Map<String, String> attemptHeaders,
            UpstreamListener listener) {
        EndpointCall call = new EndpointCall(request.requestId(), listener);
        RequestOptions options =
                new RequestOptions()
                        .setHost(endpoint.host())
                        .setPort(endpoint.port())
                        .setMethod(HttpMethod.valueOf(request.method()))
                        .setURI(request.uri())
                        .setConnectTimeout(CONNECT_TIMEOUT_MS);
        request.headers().forEach(options::putHeader);
        attemptHeaders.forEach(options::putHeader);
        client.request(options)
                .onFailure(failure -> call.fail(UpstreamListener.Failure.NOT_SENT))
                .onSuccess(clientRequest -> call.send(clientRequest, request.body()));
        return call;
    }

    private void send(HttpClientRequest request, Buffer body) {
        if (mDone) {
            request.reset();
            return;
        }
        mRequest = request;
        request.exceptionHandler(failure -> fail(UpstreamListener.Failure.BROKEN));
        request.response()
                .onFailure(failure -> fail(UpstreamListener.Failure.BROKEN))
                .onSuccess(this::receive);
        // A failed write closes the connection like the endpoint's regular end does.
        (body.length() > 0 ? request.end(body) : request.end())
                .onFailure(failure -> fail(UpstreamListener.Failure.BROKEN));
    }

    private void receive(HttpClientResponse response) {
        if (mDone) {
            request().reset();
            return;
        }
        if (response.statusCode() < MIN_FINAL_STATUS || response.statusCode() > MAX_STATUS) {
            LOG.warn(
                    "A response has an invalid status.",
                    LogField.of("request", mRequestId),
                    LogField.of("status", response.statusCode()));
            request().connection().close();
            fail(UpstreamListener.Failure.BROKEN);
            return;
        }
        String responseRequestId = response.getHeader(Exchange.REQUEST_ID_HEADER);
        if (responseRequestId != null && !responseRequestId.equals(mRequestId)) {
            // A late duplicate of an earlier response; later responses on this connection cannot be
            // matched to their requests, so the connection is closed.
            LOG.warn(
                    "A response carries the id of another request.",
                    LogField.of("request", mRequestId),
                    LogField.of("answered", responseRequestId));
            request().connection().close();
            fail(UpstreamListener.Failure.BROKEN);
            return;
        }
        mResponse = response;
        if (response.statusCode() >= FIRST_UNSUCCESSFUL_STATUS) {
            // A late copy of a refusal could not be told from the refusal of a later request, so
            // that the connection ends with this response.
            request().connection().shutdown();
        }
        response.exceptionHandler(failure -> fail(UpstreamListener.Failure.BROKEN));
        response.handler(this::receiveData);
        response.endHandler(ignored -> receiveEnd());
        Map<String, String> headers = new LinkedHashMap<>();
        response.headers()
                .forEach(
                        (name, value) ->
                                headers.merge(
                                        name.toLowerCase(Locale.ROOT),
                                        value,
                                        (first, second) -> first + ", " + second));
        mListener.onHead(response.statusCode(), headers);
        if (mPaused && !mDone) {
            response.pause();
        }
    }

    private void receiveData(Buffer data) {
        if (!mDone) {
            mListener.onData(data);
        }
    }

    private void receiveEnd() {
        if (!mDone) {
            mDone = true;
            mListener.onEnd();
        }
    }

    private void fail(UpstreamListener.Failure failure) {
        if (!mDone) {
            mDone = true;
            mListener.onFailure(failure);
        }
    }

    private HttpClientRequest request() {
        return mRequest;
    }

    @Override
    public void cancel() {
        mDone = true;
        if (mRequest != null) {
            mRequest.reset();
        }
    }

    @Override
    public void pause() {
        mPaused = true;
        if (mResponse != null) {
            mResponse.pause();
        }
    }

    @Override
    public void resume() {
        mPaused = false;
        if (mResponse != null) {
            mResponse.resume();
        }
    }
}
