package org.filbertrudder.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

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
import org.filbertrudder.model.message.EndpointLimitReport;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ShardOwner;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that peer messages and stored documents keep the encoding that earlier releases read. */
public class WireFormatTest {

    private static final String EXAMPLES_RESOURCE = "wire-format.txt";

    /** Lists the recorded examples: the kind of a message or document, and its encoding. */
    @DataProvider
    public Object[][] recordedExamples() throws IOException {
        try (InputStream stream = WireFormatTest.class.getResourceAsStream(EXAMPLES_RESOURCE)) {
            String text = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            return text.lines()
                    .map(line -> line.split(" ", 2))
                    .map(parts -> new Object[] {parts[0], parts[1]})
                    .toArray(Object[][]::new);
        }
    }

    @Test(dataProvider = "recordedExamples")
    public void encodesAsRecorded(String kind, String encoding) {
        assertEquals(encode(kind, example(typeOf(kind))), encoding);
    }

    @Test(dataProvider = "recordedExamples")
    public void decodesTheRecordedEncoding(String kind, String encoding) {
        assertEquals(encode(kind, decode(kind, encoding)), encoding);
    }

    /** An instance of the release before is not asked to resume forwarded requests. */
    @Test
    public void aMissingLifeIsReadAsNone() {
        String encoding =
                "0000009183a174a26865a776657273696f6e0aa673656e6465728aa26964a469642d31"
                        + "ab696e6361726e6174696f6ecd07d0a6726567696f6ea469642d33ad6661696c757265"
                        + "446f6d61696ea469642d34a4686f7374a6746578742d35a870656572506f72743cab66"
                        + "6f7277617264506f727446aa63616c6c6572506f727450a57374617465a444454144a8"
                        + "737472656e67746864";

        assertEquals(((PeerMessage.Hello) decode("he", encoding)).life(), 0);
    }

    /** Lists messages as they were encoded before they had versions and eras. */
    @DataProvider
    public Object[][] messagesWithoutVersions() {
        return new Object[][] {
            {
                "tr",
                "0000002b84a174a27472a26964cd03e8a87265766973696f6ecd07d0af656e64706f696e7473446967"
                        + "657374cd0bb8"
            },
            {
                "ts",
                "000000988aa174a27473a26964cd03e8a56167654d73cd07d0a87265766973696f6ecd0bb8ad636f6e"
                    + "66696775726174696f6ea6746578742d34ab65766163756174696f6e7381a6746578742d35cd"
                    + "1388a9656e64706f696e747381a6746578742d36a6746578742d36af656e64706f696e747344"
                    + "6967657374cd1b58ae656e64706f696e74734167654d73cd1f40ab61667465724f7574616765"
                    + "c3"
            },
        };
    }

    @Test(dataProvider = "messagesWithoutVersions")
    public void aMissingVersionIsReadAsNone(String kind, String encoding) {
        Object message = decode(kind, encoding);
        long version =
                message instanceof PeerMessage.OperatorStateReply reply
                        ? reply.version() + reply.era() + reply.newestEra()
                        : ((PeerMessage.OperatorStateRequest) message).version();

        assertEquals(version, 0);
    }

    /** Lists messages as they were encoded before they had a list of limits. */
    @DataProvider
    public Object[][] messagesWithoutLimits() {
        return new Object[][] {
            {"lo", "0000002082a174a26c6fa56c6f6164739194a469642d3114cb400c000000000000cd0fa0"},
            {"ls", "0000002082a174a26c73a56c6f6164739194a469642d3114cb400c000000000000cd0fa0"},
            {
                "rg",
                "0000004584a174a27267a6726567696f6ea469642d31ad737461727444656c6179734d7381a6"
                        + "746578742d32cd07d0a56c6f6164739194a469642d3114cb400c000000000000cd0fa0"
            },
        };
    }

    @Test(dataProvider = "messagesWithoutLimits")
    public void aMissingListOfLimitsIsReadAsEmpty(String kind, String encoding) {
        Object message = decode(kind, encoding);
        List<EndpointLimitReport> limits;
        if (message instanceof PeerMessage.InstanceLoadReport report) {
            limits = report.limits();
        } else if (message instanceof PeerMessage.RegionLoadSum sum) {
            limits = sum.limits();
        } else {
            limits = ((PeerMessage.RegionReport) message).limits();
        }

        assertEquals(limits, List.of());
    }

    /** Messages of the release before have no fields for what instances tell each other. */
    @Test
    public void missingForwardFieldsAreReadAsNone() {
        String start =
                "000000978ca174a26673a673747265616dcd03e8a9726571756573744964a6746578742d32a7616363"
                        + "6f756e74a469642d33a36b6579a469642d34a87265766973696f6ecd1388a66f7269"
                        + "67696ea469642d36a66d6574686f64a6746578742d37a3757269a6746578742d38a7"
                        + "6865616465727381a6746578742d39a6746578742d39a4626f6479c40301020aaa64"
                        + "6561646c696e654d73cd2af8";
        String head =
                "0000002f84a174a26668a673747265616dcd03e8a673746174757314a76865616465727381a6746578"
                        + "742d33a6746578742d33";

        assertNull(((PeerMessage.ForwardStart) decode("fs", start)).service());
        assertNull(((PeerMessage.ForwardStart) decode("fs", start)).resumeAfter());
        assertNull(((PeerMessage.ForwardHead) decode("fh", head)).refusal());
    }

    @Test
    public void everyPeerMessageTypeIsRecorded() throws IOException {
        List<String> kinds = new ArrayList<>();
        for (Object[] line : recordedExamples()) {
            if (Character.isLowerCase(((String) line[0]).charAt(0))) {
                kinds.add((String) line[0]);
            }
        }
        JsonSubTypes subtypes = PeerMessage.class.getAnnotation(JsonSubTypes.class);

        assertEquals(
                kinds, List.of(subtypes.value()).stream().map(JsonSubTypes.Type::name).toList());
    }

    private static Class<?> typeOf(String kind) {
        if (kind.equals("CHANGE")) {
            return Change.class;
        } else if (kind.equals("MEMBER")) {
            return Member.class;
        } else if (kind.equals("SHARD")) {
            return ShardOwner.class;
        }
        for (JsonSubTypes.Type subtype :
                PeerMessage.class.getAnnotation(JsonSubTypes.class).value()) {
            if (subtype.name().equals(kind)) {
                return subtype.value();
            }
        }
        throw new AssertionError("Unknown kind: " + kind);
    }

    private static String encode(String kind, Object value) {
        return value instanceof PeerMessage message
                ? HexFormat.of().formatHex(MessageCodec.encode(message).getBytes())
                : Json.write(value);
    }

    private static Object decode(String kind, String encoding) {
        Class<?> type = typeOf(kind);
        if (!PeerMessage.class.isAssignableFrom(type)) {
            return Json.read(encoding, type);
        }
        Buffer frame = Buffer.buffer(HexFormat.of().parseHex(encoding));
        return MessageCodec.decode(frame.getBuffer(MessageCodec.HEADER_BYTES, frame.length()));
    }

    /** Returns a value that depends only on the order and types of the record components. */
    private static Object example(Class<?> type) {
        RecordComponent[] components = type.getRecordComponents();
        Class<?>[] types = new Class<?>[components.length];
        Object[] values = new Object[components.length];
        for (int i = 0; i < components.length; i++) {
            types[i] = components[i].getType();
            values[i] = exampleValue(types[i], components[i].getGenericType(), i + 1);
        }
        try {
            var constructor = type.getDeclaredConstructor(types);
            constructor.setAccessible(true);
            return constructor.newInstance(values);
        } catch (ReflectiveOperationException e) {
            throw new AssertionError("Cannot create an example of " + type, e);
        }
    }

    private static Object exampleValue(Class<?> type, Type genericType, int seed) {
        if (type == long.class || type == Long.class) {
            return 1_000L * seed;
        } else if (type == int.class || type == Integer.class) {
            return 10 * seed;
        } else if (type == double.class || type == Double.class) {
            return seed + 0.5;
        } else if (type == boolean.class || type == Boolean.class) {
            return true;
        } else if (type == String.class) {
            return "text-" + seed;
        } else if (type == byte[].class) {
            return new byte[] {1, 2, (byte) seed};
        } else if (type.isEnum()) {
            return type.getEnumConstants()[type.getEnumConstants().length - 1];
        } else if (Collection.class.isAssignableFrom(type) || type == Map.class) {
            return exampleCollection(type, (ParameterizedType) genericType, seed);
        } else if (type == Edit.class || type == Entity.class) {
            throw new AssertionError("Expected in a list only: " + type);
        }
        return exampleIdOrRecord(type, seed);
    }

    private static Object exampleCollection(
            Class<?> type, ParameterizedType genericType, int seed) {
        Type[] arguments = genericType.getActualTypeArguments();
        if (type == Map.class) {
            Object key = exampleValue((Class<?>) arguments[0], arguments[0], seed);
            Object value = exampleValue((Class<?>) arguments[1], arguments[1], seed);
            return Map.of(key, value);
        } else if (arguments[0] == Entity.class) {
            return exampleEntities();
        } else if (arguments[0] == Edit.class) {
            List<Edit> edits =
                    new ArrayList<>(exampleEntities().stream().map(Edit.Put::new).toList());
            edits.add(new Edit.Remove(EntityKey.of(EntityKind.KEY, "old")));
            return edits;
        }
        Object element = exampleValue((Class<?>) arguments[0], arguments[0], seed);
        return type == Set.class ? Set.of(element) : List.of(element);
    }

    private static List<Entity> exampleEntities() {
        List<Entity> examples = new ArrayList<>();
        for (Class<?> subtype : Entity.class.getPermittedSubclasses()) {
            examples.add((Entity) example(subtype));
        }
        return examples;
    }

    private static Object exampleIdOrRecord(Class<?> type, int seed) {
        for (Method method : type.getDeclaredMethods()) {
            if (Modifier.isStatic(method.getModifiers())
                    && method.getReturnType() == type
                    && method.getParameterCount() == 1
                    && method.getParameterTypes()[0] == String.class) {
                try {
                    return method.invoke(null, "id-" + seed);
                } catch (ReflectiveOperationException e) {
                    throw new AssertionError("Cannot create an id of " + type, e);
                }
            }
        }
        return example(type);
    }

    /** Prints new recorded examples, for use after an intended change of the format. */
    public static void main(String[] arguments) {
        List<String> kinds = new ArrayList<>();
        for (JsonSubTypes.Type subtype :
                PeerMessage.class.getAnnotation(JsonSubTypes.class).value()) {
            kinds.add(subtype.name());
        }
        kinds.addAll(List.of("CHANGE", "MEMBER", "SHARD"));
        for (String kind : kinds) {
            System.out.println(kind + " " + encode(kind, example(typeOf(kind))));
        }
    }
}
