package org.filbertrudder.entry.traffic;

/** Thrown when a request fails validation or authentication and gets a refusal as response. */
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
