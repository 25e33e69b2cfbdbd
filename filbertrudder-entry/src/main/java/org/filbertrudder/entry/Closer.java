package org.filbertrudder.entry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Gathers resources and closes them in the reverse order. */
public final class Closer {

    private final Deque<Supplier<CompletableFuture<Void>>> mActions = new ArrayDeque<>();

    /** Adds an action that closes a resource. */
    public void add(Supplier<CompletableFuture<Void>> action) {
        mActions.push(action);
    }

    /** Closes everything; one that fails does not keep the others open. */
    public CompletableFuture<Void> close() {
        CompletableFuture<Void> closed = CompletableFuture.completedFuture(null);
        while (!mActions.isEmpty()) {
            Supplier<CompletableFuture<Void>> action = mActions.pop();
            closed = closed.handle((done, failure) -> action.get()).thenCompose(each -> each);
        }
        return closed;
    }
}
