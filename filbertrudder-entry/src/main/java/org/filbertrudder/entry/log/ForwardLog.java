package org.filbertrudder.entry.log;

import org.filbertrudder.peer.forwarding.ForwardEvent;

/** Logs decisions about forwarded requests. */
public final class ForwardLog {

    private static final ComponentLogger LOG = ComponentLogger.of("forwards");

    private ForwardLog() {}

    /** Logs a decision with its inputs. */
    public static void log(ForwardEvent event) {
        LOG.info(
                event.message(),
                event.fields().entrySet().stream()
                        .map(field -> LogField.of(field.getKey(), field.getValue()))
                        .toArray(LogField[]::new));
    }
}
