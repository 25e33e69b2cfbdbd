package org.filbertrudder.model;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import java.util.stream.Collectors;

/** Turns parser errors into messages that name the path and the remedy. */
final class JsonProblems {

    private JsonProblems() {}

    static String describe(JsonProcessingException error) {
        String place = place(error);
        if (error instanceof UnrecognizedPropertyException unknown) {
            return place
                    + ": unknown field. Remove it or use one of "
                    + unknown.getKnownPropertyIds()
                    + ".";
        }
        if (error.getCause() instanceof InvalidValueException invalid) {
            return place + ": " + invalid.getMessage();
        }
        return place + ": " + error.getOriginalMessage();
    }

    private static String place(JsonProcessingException error) {
        if (error instanceof JsonMappingException mapping && !mapping.getPath().isEmpty()) {
            return mapping.getPath().stream()
                    .map(JsonProblems::step)
                    .collect(Collectors.joining())
                    .replaceFirst("^\\.", "");
        }
        return error.getLocation() == null ? "document" : "line " + error.getLocation().getLineNr();
    }

    private static String step(JsonMappingException.Reference reference) {
        return reference.getFieldName() == null
                ? "[" + reference.getIndex() + "]"
                : "." + reference.getFieldName();
    }
}
