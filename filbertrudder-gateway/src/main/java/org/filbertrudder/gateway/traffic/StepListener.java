package org.filbertrudder.gateway.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;

/**
 * Handles each event of an attempt as a step of its own, so that an exception does not reach the
 * connection, which may carry other requests.
 *
 * @param listener handles the events
 * @param runStep runs a step
 */
record StepListener(AttemptListener listener, Consumer<Runnable> runStep)
        implements AttemptListener {

    @Override
    public void head(ResponseHead head) {
        runStep.accept(() -> listener.head(head));
    }

    @Override
    public void data(Buffer data) {
        runStep.accept(() -> listener.data(data));
    }

    @Override
    public void end() {
        runStep.accept(listener::end);
    }

    @Override
    public void endByClose() {
        runStep.accept(listener::endByClose);
    }

    @Override
    public void failed(Failure failure) {
        runStep.accept(() -> listener.failed(failure));
    }
}
