package org.filbertrudder.gateway.traffic;

import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.peer.forwarding.ForwardEvent;

/** Logs decisions about forwarded requests. */
final class ForwardLog {

    private static final ComponentLogger LOG = ComponentLogger.of("forwards");

    private ForwardLog() {}

    static void log(ForwardEvent event) {
        LOG.info(
                event.message(),
                event.fields().entrySet().stream()
                        .map(field -> LogField.of(field.getKey(), field.getValue()))
                        .toArray(LogField[]::new));
    }
}
