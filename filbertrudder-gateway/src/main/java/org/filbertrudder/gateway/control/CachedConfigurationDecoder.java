package org.filbertrudder.gateway.control;

import java.util.Optional;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.model.InvalidValueException;

/** Decodes configuration documents and keeps the last result, as most responses repeat it. */
final class CachedConfigurationDecoder {

    private static final ComponentLogger LOG = ComponentLogger.of("state");

    private final StateSource mSource;
    private String mDocument = "";
    private Optional<GatewayConfiguration> mDecoded = Optional.empty();

    CachedConfigurationDecoder(StateSource source) {
        mSource = source;
    }

    /** Returns the decoded configuration; empty if there is no document or it is not valid. */
    Optional<GatewayConfiguration> decode(String document) {
        if (document.isEmpty()) {
            return Optional.empty();
        }
        if (!document.equals(mDocument)) {
            mDocument = document;
            mDecoded = Optional.empty();
            try {
                mDecoded = Optional.of(mSource.decodeConfiguration(document));
            } catch (InvalidValueException e) {
                LOG.warn("A configuration cannot be read.", LogField.of("error", e.getMessage()));
            }
        }
        return mDecoded;
    }
}
