package org.filbertrudder.model;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** Reads and writes model types as JSON with a stable field order. */
public final class Json {

    /**
     * The shared mapper; rejects unknown fields, null for primitives and implicit type conversions.
     */
    public static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                    .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                    .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                    .build();

    private Json() {}

    /** Returns the value as compact JSON. */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(
                    "The value cannot be written as JSON: " + value.getClass(), e);
        }
    }

    /** Returns the value as indented JSON. */
    public static String writeIndented(Object value) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(
                    "The value cannot be written as JSON: " + value.getClass(), e);
        }
    }

    /**
     * Parses a value of the given type.
     *
     * @throws InvalidValueException if the text is not a valid JSON document of the type
     */
    public static <T> T read(String text, Class<T> type) {
        T value;
        try {
            value = MAPPER.readValue(text, type);
        } catch (JsonProcessingException e) {
            throw new InvalidValueException(JsonErrorMessages.describe(e));
        }
        if (value == null) {
            throw new InvalidValueException("The document is null. Provide an object.");
        }
        return value;
    }
}
