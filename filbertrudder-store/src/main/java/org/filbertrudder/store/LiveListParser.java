package org.filbertrudder.store;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Parses the live list entry by entry, so that one that another writer left there does not hide the
 * others.
 */
final class LiveListParser {

    /** Entries are skipped without recursion, so their nesting needs no limit. */
    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(Integer.MAX_VALUE)
                                    .build())
                    .build();

    private LiveListParser() {}

    /**
     * Returns the usable entries of a list.
     *
     * @throws IOException if the document is not a JSON list
     */
    static List<LiveListEntry> parse(String document) throws IOException {
        List<LiveListEntry> entries = new ArrayList<>();
        try (JsonParser parser = FACTORY.createParser(document)) {
            if (parser.nextToken() != JsonToken.START_ARRAY) {
                throw new IOException("The document is not a list.");
            }
            for (JsonToken token = parser.nextToken();
                    token != JsonToken.END_ARRAY;
                    token = parser.nextToken()) {
                if (token == null) {
                    throw new IOException("The list has no end.");
                }
                if (token == JsonToken.START_OBJECT) {
                    toEntry(readTexts(parser)).ifPresent(entries::add);
                } else {
                    parser.skipChildren();
                }
            }
        }
        return entries;
    }

    /** Reads the fields of an object that are texts, and skips the others. */
    private static Map<String, String> readTexts(JsonParser parser) throws IOException {
        Map<String, String> texts = new HashMap<>();
        for (JsonToken token = parser.nextToken();
                token == JsonToken.FIELD_NAME;
                token = parser.nextToken()) {
            String name = parser.currentName();
            if (parser.nextToken() == JsonToken.VALUE_STRING) {
                texts.put(name, parser.getText());
            } else {
                parser.skipChildren();
            }
        }
        return texts;
    }

    private static Optional<LiveListEntry> toEntry(Map<String, String> texts) {
        String id = texts.get("id");
        String address = texts.get("address");
        if (id == null || address == null || texts.get("state") == null) {
            return Optional.empty();
        }
        for (LiveListEntry.State state : LiveListEntry.State.values()) {
            if (state.name().equals(texts.get("state"))) {
                return Optional.of(new LiveListEntry(id, state, address));
            }
        }
        return Optional.empty();
    }
}
