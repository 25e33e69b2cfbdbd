package org.filbertrudder.peer;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Method;
import java.lang.reflect.Modifier;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.model.Change;
import org.filbertrudder.model.Edit;
import org.filbertrudder.model.Entity;
import org.filbertrudder.model.EntityKey;
import org.filbertrudder.model.EntityKind;
import org.filbertrudder.model.Json;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ShardOwner;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that peer messages and stored documents keep the form that earlier releases read. */
public class WireFormatTest {

    private static final String RESOURCE = "wire-format.txt";

    /** Lists the recorded examples: the kind of a message or document, and its encoded form. */
    @DataProvider
    public Object[][] recorded() throws IOException {
        try (InputStream stream = WireFormatTest.class.getResourceAsStream(RESOURCE)) {
            String text = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            return text.lines()
                    .map(line -> line.split(" ", 2))
                    .map(parts -> new Object[] {parts[0], parts[1]})
                    .toArray(Object[][]::new);
        }
    }

    @Test(dataProvider = "recorded")
    public void encodesTheRecordedForm(String kind, String form) {
        assertEquals(encode(kind, example(type(kind))), form);
    }

    @Test(dataProvider = "recorded")
    public void readsTheRecordedForm(String kind, String form) {
        assertEquals(encode(kind, decode(kind, form)), form);
    }

    @Test
    public void everyKindOfPeerMessageIsRecorded() throws IOException {
        List<String> kinds = new ArrayList<>();
        for (Object[] line : recorded()) {
            if (Character.isLowerCase(((String) line[0]).charAt(0))) {
                kinds.add((String) line[0]);
            }
        }
        JsonSubTypes subtypes = PeerMessage.class.getAnnotation(JsonSubTypes.class);

        assertEquals(
                kinds, List.of(subtypes.value()).stream().map(JsonSubTypes.Type::name).toList());
    }

    private static Class<?> type(String kind) {
        if (kind.equals("CHANGE")) {
            return Change.class;
        } else if (kind.equals("MEMBER")) {
            return Member.class;
        } else if (kind.equals("SHARD")) {
            return ShardOwner.class;
        }
        for (JsonSubTypes.Type each : PeerMessage.class.getAnnotation(JsonSubTypes.class).value()) {
            if (each.name().equals(kind)) {
                return each.value();
            }
        }
        throw new AssertionError("Unknown kind: " + kind);
    }

    private static String encode(String kind, Object value) {
        return value instanceof PeerMessage message
                ? HexFormat.of().formatHex(MessageCodec.encode(message).getBytes())
                : Json.write(value);
    }

    private static Object decode(String kind, String form) {
        Class<?> type = type(kind);
        if (!PeerMessage.class.isAssignableFrom(type)) {
            return Json.read(form, type);
        }
        Buffer frame = Buffer.buffer(HexFormat.of().parseHex(form));
        return MessageCodec.decode(frame.getBuffer(MessageCodec.HEADER_BYTES, frame.length()));
    }

    /** Returns a value of the type that depends on the order and types of its components only. */
    private static Object example(Class<?> type) {
        RecordComponent[] components = type.getRecordComponents();
        Class<?>[] types = new Class<?>[components.length];
        Object[] values = new Object[components.length];
        for (int i = 0; i < components.length; i++) {
            types[i] = components[i].getType();
            values[i] = value(types[i], components[i].getGenericType(), i + 1);
        }
        try {
            var constructor = type.getDeclaredConstructor(types);
            constructor.setAccessible(true);
            return constructor.newInstance(values);
        } catch (ReflectiveOperationException e) {
            throw new AssertionError("No example of " + type, e);
        }
    }

    private static Object value(Class<?> type, Type generic, int number) {
        if (type == long.class || type == Long.class) {
            return 1_000L * number;
        } else if (type == int.class || type == Integer.class) {
            return 10 * number;
        } else if (type == double.class || type == Double.class) {
            return number + 0.5;
        } else if (type == boolean.class || type == Boolean.class) {
            return true;
        } else if (type == String.class) {
            return "text-" + number;
        } else if (type == byte[].class) {
            return new byte[] {1, 2, (byte) number};
        } else if (type.isEnum()) {
            return type.getEnumConstants()[type.getEnumConstants().length - 1];
        } else if (Collection.class.isAssignableFrom(type) || type == Map.class) {
            return collection(type, (ParameterizedType) generic, number);
        } else if (type == Edit.class || type == Entity.class) {
            throw new AssertionError("A list holds all kinds of " + type);
        }
        return idOrRecord(type, number);
    }

    private static Object collection(Class<?> type, ParameterizedType generic, int number) {
        Type[] arguments = generic.getActualTypeArguments();
        if (type == Map.class) {
            Object key = value((Class<?>) arguments[0], arguments[0], number);
            Object value = value((Class<?>) arguments[1], arguments[1], number);
            return Map.of(key, value);
        } else if (arguments[0] == Entity.class) {
            return entities();
        } else if (arguments[0] == Edit.class) {
            List<Edit> edits = new ArrayList<>(entities().stream().map(Edit.Put::new).toList());
            edits.add(new Edit.Remove(EntityKey.of(EntityKind.KEY, "old")));
            return edits;
        }
        Object element = value((Class<?>) arguments[0], arguments[0], number);
        return type == Set.class ? Set.of(element) : List.of(element);
    }

    private static List<Entity> entities() {
        List<Entity> entities = new ArrayList<>();
        for (Class<?> each : Entity.class.getPermittedSubclasses()) {
            entities.add((Entity) example(each));
        }
        return entities;
    }

    private static Object idOrRecord(Class<?> type, int number) {
        for (Method method : type.getDeclaredMethods()) {
            if (Modifier.isStatic(method.getModifiers())
                    && method.getReturnType() == type
                    && method.getParameterCount() == 1
                    && method.getParameterTypes()[0] == String.class) {
                try {
                    return method.invoke(null, "id-" + number);
                } catch (ReflectiveOperationException e) {
                    throw new AssertionError("No id of " + type, e);
                }
            }
        }
        return example(type);
    }

    /** Writes the recorded examples anew, after a change of the format that is wanted. */
    public static void main(String[] arguments) {
        List<String> kinds = new ArrayList<>();
        for (JsonSubTypes.Type each : PeerMessage.class.getAnnotation(JsonSubTypes.class).value()) {
            kinds.add(each.name());
        }
        kinds.addAll(List.of("CHANGE", "MEMBER", "SHARD"));
        for (String kind : kinds) {
            System.out.println(kind + " " + encode(kind, example(type(kind))));
        }
    }
}
