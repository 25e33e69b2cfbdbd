package org.filbertrudder.model;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import java.util.stream.Collectors;

/** Formats JSON and YAML parser errors as messages for the author of the document. */
final class JsonErrorMessages {

    private JsonErrorMessages() {}

    /** Returns a message that starts with the path of the invalid field or its line. */
    static String describe(JsonProcessingException error) {
        String location = location(error);
        if (error instanceof UnrecognizedPropertyException unknown) {
            return location
                    + ": unknown field. Remove it or use one of "
                    + unknown.getKnownPropertyIds()
                    + ".";
        }
        if (error.getCause() instanceof InvalidValueException invalid) {
            return location + ": " + invalid.getMessage();
        }
        return location + ": " + error.getOriginalMessage();
    }

    private static String location(JsonProcessingException error) {
        if (error instanceof JsonMappingException mapping && !mapping.getPath().isEmpty()) {
            return mapping.getPath().stream()
                    .map(JsonErrorMessages::pathElement)
                    .collect(Collectors.joining())
                    .replaceFirst("^\\.", "");
        }
        return error.getLocation() == null ? "document" : "line " + error.getLocation().getLineNr();
    }

    private static String pathElement(JsonMappingException.Reference reference) {
        return reference.getFieldName() == null
                ? "[" + reference.getIndex() + "]"
                : "." + reference.getFieldName();
    }
}
