package org.filbertrudder.gateway.traffic;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * Holds what the head of an endpoint's response states about its load.
 *
 * @param running the number of requests that the endpoint runs
 * @param waiting the number of requests that wait in the endpoint
 * @param pacePercent how long work takes on the endpoint's machine at the moment, in percent of the
 *     usual time, if it states this
 */
public record LoadStatement(int running, int waiting, OptionalInt pacePercent) {

    private static final String DECIMAL_NUMBER = "[0-9]{1,9}([.][0-9]{1,9})?";
    private static final int MIN_PACE_PERCENT = 10;
    private static final int MAX_PACE_PERCENT = 2_000;

    /**
     * Parses the form RUNNING,WAITING,SLOTS or RUNNING,WAITING,SLOTS,PACE; empty if there is no
     * text or the first two numbers cannot be parsed.
     */
    public static Optional<LoadStatement> parse(String text) {
        if (text == null) {
            return Optional.empty();
        }
        String[] parts = text.split(",");
        try {
            return Optional.of(
                    new LoadStatement(
                            Integer.parseInt(parts[0].trim()),
                            Integer.parseInt(parts[1].trim()),
                            parts.length > 3 ? parsePace(parts[3].trim()) : OptionalInt.empty()));
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
            return Optional.empty();
        }
    }

    /** Parses a pace in percent; empty if it is malformed or implausible. */
    private static OptionalInt parsePace(String text) {
        if (!text.matches(DECIMAL_NUMBER)) {
            return OptionalInt.empty();
        }
        int pace = (int) Math.round(Double.parseDouble(text));
        return pace >= MIN_PACE_PERCENT && pace <= MAX_PACE_PERCENT
                ? OptionalInt.of(pace)
                : OptionalInt.empty();
    }

    /** Returns the number of requests that the endpoint runs or queues. */
    public int requests() {
        return running + waiting;
    }
}
