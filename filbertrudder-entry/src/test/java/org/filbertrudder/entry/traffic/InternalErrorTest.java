package org.filbertrudder.entry.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
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
                            exchange.set(new Exchange(request(), sink, 0));
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

    private String responseBody(int port) throws Exception {
        return mVertx.createHttpClient()
                .request(HttpMethod.GET, port, "127.0.0.1", "/")
                .compose(request -> request.send().compose(response -> response.body()))
                .map(Buffer::toString)
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
    }

    private static Exchange.Request request() {
        return new Exchange.Request(
                "r1",
                null,
                null,
                null,
                "GET",
                "/x",
                Map.of(),
                Buffer.buffer(),
                false,
                0,
                0,
                "",
                false,
                false,
                0);
    }
}
