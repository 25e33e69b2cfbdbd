package org.filbertrudder.entry.traffic;

/** Signals that a request is refused. */
final class RefusedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final transient Refusal mRefusal;

    RefusedException(Refusal refusal) {
        super(refusal.message(), null, false, false);
        mRefusal = refusal;
    }

    Refusal refusal() {
        return mRefusal;
    }
}
