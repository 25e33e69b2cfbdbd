package org.filbertrudder.entry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Collects close actions of resources and runs them in reverse order of registration. */
public final class Closer {

    private final Deque<Supplier<CompletableFuture<Void>>> mCloseActions = new ArrayDeque<>();

    /** Registers an action that closes a resource. */
    public void add(Supplier<CompletableFuture<Void>> action) {
        mCloseActions.push(action);
    }

    /** Closes all resources one after the other; a failed action does not stop the next ones. */
    public CompletableFuture<Void> close() {
        CompletableFuture<Void> closed = CompletableFuture.completedFuture(null);
        while (!mCloseActions.isEmpty()) {
            Supplier<CompletableFuture<Void>> action = mCloseActions.pop();
            closed =
                    closed.handle((ignored, failure) -> action.get()).thenCompose(result -> result);
        }
        return closed;
    }
}
