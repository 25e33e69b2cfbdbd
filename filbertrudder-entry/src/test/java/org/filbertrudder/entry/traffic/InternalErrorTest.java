package org.filbertrudder.entry.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.Json;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what a caller is told when the handling of its request raises an exception. */
public class InternalErrorTest {

    private Vertx mVertx;

    @BeforeClass
    public void startVertx() {
        mVertx = Vertx.vertx();
    }

    @AfterClass(alwaysRun = true)
    public void stopVertx() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Lists whether an attempt was sent before the exception. */
    @DataProvider
    public Object[][] attempts() {
        return new Object[][] {{false}, {true}};
    }

    @Test(dataProvider = "attempts")
    public void requestThatMayHaveRunIsCalledNotRunAfterAnException(boolean attemptSent)
            throws Exception {
        ExchangeFinisher finisher =
                new ExchangeFinisher(() -> null, new TrafficMetrics(new MetricRegistry()));
        AtomicReference<Exchange> exchange = new AtomicReference<>();
        Router router = Router.router(mVertx);
        router.route()
                .handler(
                        context -> {
                            HttpResponseSink sink = new HttpResponseSink(context.response());
                            exchange.set(new Exchange(TestRequests.get("r1"), sink, 0));
                            exchange.get().setMayHaveRun(attemptSent);
                            CallerApi.bindExchange(context, exchange.get());
                            throw new IllegalStateException("Raised by the test.");
                        });
        router.errorHandler(
                500, context -> CallerApi.refuseAfterException(context, finisher::fail));
        HttpServer server =
                mVertx.createHttpServer()
                        .requestHandler(router)
                        .listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(10, TimeUnit.SECONDS);

        String body = responseBody(server.actualPort());

        assertTrue(body.contains("\"code\":\"internal_error\""), body);
        assertEquals(body.contains("\"not_run\":true"), !attemptSent, body);
        assertTrue(exchange.get().ended(), "The request could run after its refusal.");
        server.close();
    }

    /** Lists whether the body is read before the exception. */
    @DataProvider
    public Object[][] bodies() {
        return new Object[][] {{false}, {true}};
    }

    @Test(dataProvider = "bodies")
    public void requestThatFailsBeforeItHasAnExchangeIsNotRefusedOrLogged(boolean bodyRead)
            throws Exception {
        List<String> loggedIds = new CopyOnWriteArrayList<>();
        Handler log = new WarningFields(loggedIds);
        Logger logger = Logger.getLogger("filbertrudder.callers");
        logger.addHandler(log);
        Router router = Router.router(mVertx);
        if (bodyRead) {
            router.route().handler(BodyHandler.create(false));
        }
        router.route()
                .handler(
                        context -> {
                            throw new StackOverflowError("Raised by the test.");
                        });
        router.errorHandler(
                500, context -> CallerApi.refuseAfterException(context, exchange -> {}));
        HttpServer server =
                mVertx.createHttpServer()
                        .requestHandler(router)
                        .listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(10, TimeUnit.SECONDS);

        JsonNode error = Json.MAPPER.readTree(responseBody(server.actualPort())).path("error");

        assertEquals(error.path("code").asText(), "internal_error");
        assertTrue(error.path("not_run").asBoolean());
        assertTrue(loggedIds.contains(error.path("request_id").asText()), loggedIds.toString());
        logger.removeHandler(log);
        server.close();
    }

    /** Collects the values of the fields of warnings. */
    private static final class WarningFields extends Handler {

        private final List<String> mValues;

        WarningFields(List<String> values) {
            mValues = values;
        }

        @Override
        public void publish(LogRecord line) {
            if (line.getLevel() == Level.WARNING && line.getParameters() != null) {
                for (Object field : line.getParameters()) {
                    mValues.add(String.valueOf(((LogField) field).value()));
                }
            }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }

    private String responseBody(int port) throws Exception {
        return mVertx.createHttpClient()
                .request(HttpMethod.GET, port, "127.0.0.1", "/")
                .compose(request -> request.send().compose(response -> response.body()))
                .map(Buffer::toString)
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
    }
}
