package org.filbertrudder.gateway.traffic;

/** Holds limits on the answers of endpoints. */
final class AnswerLimits {

    /** Answers up to this length are passed on only when they are whole, in bytes. */
    static final int MAX_HELD_BYTES = 1024 * 1024;

    private AnswerLimits() {}
}
