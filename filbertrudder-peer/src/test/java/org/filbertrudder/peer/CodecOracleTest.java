package org.filbertrudder.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.filbertrudder.model.Account;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Contract;
import org.filbertrudder.model.Edit;
import org.filbertrudder.model.Entity;
import org.filbertrudder.model.EntityKey;
import org.filbertrudder.model.EntityKind;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.PeerMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.msgpack.value.Value;
import org.msgpack.value.ValueFactory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Compares the codec with data binding, which defines the format, on random messages. */
public class CodecOracleTest {

    private static final ObjectMapper ORACLE =
            new ObjectMapper(new MessagePackFactory())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private static final String REJECTED = "rejected";

    /** Types with nested documents, which are left to data binding. */
    private static final Set<String> RARE_TYPES = Set.of("cp", "cr", "sp", "sr", "su", "sh");

    private static final int MESSAGES = 100;
    private static final int MUTATED_MESSAGES = 20;
    private static final int MUTATIONS = 40;
    private static final int LARGE_BYTES = 100_000;

    private static final long[] LONGS = {
        0,
        1,
        -1,
        -32,
        -33,
        127,
        128,
        -128,
        -129,
        255,
        256,
        32_767,
        32_768,
        -32_768,
        -32_769,
        65_535,
        65_536,
        Integer.MAX_VALUE,
        Integer.MIN_VALUE,
        1L << 31,
        (1L << 32) - 1,
        1L << 32,
        -(1L << 31) - 1,
        Long.MAX_VALUE,
        Long.MIN_VALUE
    };

    private static final double[] DOUBLES = {
        0,
        -0.0,
        1,
        -3,
        0.1,
        1e300,
        Double.MIN_VALUE,
        Double.MAX_VALUE,
        Double.NaN,
        Double.POSITIVE_INFINITY,
        Double.NEGATIVE_INFINITY,
        1L << 53
    };

    private static final String[] TEXTS = {
        "", "a", "café", "日本語", "\ud83d\ude00", "\ud83d", "\u0000\n", "t", "id"
    };

    private static final int[] TEXT_LENGTHS = {
        31, 32, 63, 255, 256, 511, 512, 1_023, 1_024, 8_192, 65_535, 65_536
    };

    @DataProvider
    public Object[][] types() {
        JsonSubTypes.Type[] types = PeerMessage.class.getAnnotation(JsonSubTypes.class).value();
        Object[][] rows = new Object[types.length][];
        for (int i = 0; i < types.length; i++) {
            rows[i] = new Object[] {types[i].name(), types[i].value()};
        }
        return rows;
    }

    @Test(dataProvider = "types")
    public void encodesAsDataBindingDoes(String name, Class<?> type) throws Exception {
        Random random = new Random(name.hashCode());
        for (int i = 0; i < MESSAGES; i++) {
            PeerMessage message = (PeerMessage) randomRecord(type, random);
            byte[] expected = ORACLE.writerFor(PeerMessage.class).writeValueAsBytes(message);

            Buffer frame = MessageCodec.encode(message);

            assertEquals(frame.getInt(0), expected.length);
            byte[] body = frame.getBytes(MessageCodec.HEADER_BYTES, frame.length());
            assertEquals(hex(body), hex(expected));
        }
    }

    @Test(dataProvider = "types")
    public void decodesAsDataBindingDoes(String name, Class<?> type) throws Exception {
        Random random = new Random(name.hashCode());
        for (int i = 0; i < MESSAGES; i++) {
            byte[] body =
                    ORACLE.writerFor(PeerMessage.class)
                            .writeValueAsBytes(randomRecord(type, random));

            assertEquals(decode(body), decodeWithOracle(body));
        }
    }

    @Test(dataProvider = "types")
    public void readsAndWritesFrequentTypesWithoutDataBinding(String name, Class<?> type)
            throws Exception {
        PeerMessage message = (PeerMessage) randomRecord(type, new Random(name.hashCode()));
        byte[] body = ORACLE.writerFor(PeerMessage.class).writeValueAsBytes(message);

        if (RARE_TYPES.contains(name)) {
            assertNull(MessageWriter.write(message));
            assertNull(MessageReader.read(body));
        } else {
            assertNotNull(MessageWriter.write(message));
            assertEquals(bytesOf(MessageReader.read(body)), bytesOf(message));
        }
    }

    @Test(dataProvider = "types")
    public void decodesFramesWithOtherFieldsAsDataBindingDoes(String name, Class<?> type)
            throws Exception {
        Random random = new Random(name.hashCode());
        int decoded = 0;
        for (int i = 0; i < MUTATED_MESSAGES; i++) {
            byte[] body =
                    ORACLE.writerFor(PeerMessage.class)
                            .writeValueAsBytes(randomRecord(type, random));
            for (int j = 0; j < MUTATIONS; j++) {
                byte[] mutated = withOtherFields(body, random);
                String expected = decodeWithOracle(mutated);
                decoded += expected.equals(REJECTED) ? 0 : 1;
                assertEquals(decode(mutated), expected, hex(mutated));
            }
        }
        assertTrue(decoded > 0, "every frame was rejected");
    }

    @Test(dataProvider = "types")
    public void decodesDamagedFramesAsDataBindingDoes(String name, Class<?> type) throws Exception {
        Random random = new Random(name.hashCode());
        for (int i = 0; i < MUTATED_MESSAGES; i++) {
            byte[] body =
                    ORACLE.writerFor(PeerMessage.class)
                            .writeValueAsBytes(randomRecord(type, random));
            for (int j = 0; j < MUTATIONS; j++) {
                byte[] damaged = damaged(body, random);

                assertEquals(decode(damaged), decodeWithOracle(damaged), hex(damaged));
            }
        }
    }

    private static String decode(byte[] body) throws IOException {
        try {
            return bytesOf(MessageCodec.decode(Buffer.buffer(body)));
        } catch (MalformedFrameException e) {
            return REJECTED;
        }
    }

    private static String decodeWithOracle(byte[] body) throws IOException {
        PeerMessage message;
        try {
            skipWhole(MessagePack.newDefaultUnpacker(body));
            message = ORACLE.readValue(body, PeerMessage.class);
        } catch (IOException | RuntimeException e) {
            return REJECTED;
        }
        return message == null ? REJECTED : bytesOf(message);
    }

    /**
     * Fails if the value is not whole, which the codec rejects: data binding allocates what a
     * length says before it finds that the bytes are missing, or stops reading before the missing
     * bytes.
     */
    private static void skipWhole(MessageUnpacker unpacker) throws IOException {
        long valuesLeft = 1;
        while (valuesLeft > 0) {
            valuesLeft--;
            switch (unpacker.getNextFormat().getValueType()) {
                case ARRAY -> valuesLeft += unpacker.unpackArrayHeader();
                case MAP -> valuesLeft += 2L * unpacker.unpackMapHeader();
                default -> unpacker.skipValue();
            }
        }
    }

    /** Returns the message's type and encoding, because records with arrays have no equality. */
    private static String bytesOf(PeerMessage message) throws IOException {
        return message.getClass()
                + hex(ORACLE.writerFor(PeerMessage.class).writeValueAsBytes(message));
    }

    private static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    /** Returns the frame with fields, at any depth, that are dropped, added, moved or retyped. */
    private static byte[] withOtherFields(byte[] body, Random random) throws IOException {
        Value root = MessagePack.newDefaultUnpacker(body).unpackValue();
        int changes = 1 + random.nextInt(2);
        for (int i = 0; i < changes; i++) {
            root = mutated(root, random);
        }
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packValue(root);
            return packer.toByteArray();
        }
    }

    private static Value mutated(Value value, Random random) {
        if (value.isMapValue() && value.asMapValue().size() > 0) {
            return mutatedMap(value, random);
        } else if (value.isArrayValue() && value.asArrayValue().size() > 0) {
            List<Value> values = new ArrayList<>(value.asArrayValue().list());
            int at = random.nextInt(values.size());
            switch (random.nextInt(4)) {
                case 0 -> values.remove(at);
                case 1 -> values.add(at, otherValue(random));
                default -> values.set(at, mutated(values.get(at), random));
            }
            return ValueFactory.newArray(values);
        }
        return otherValue(random);
    }

    private static Value mutatedMap(Value map, Random random) {
        Value[] pairs = map.asMapValue().getKeyValueArray();
        List<Map.Entry<Value, Value>> fields = new ArrayList<>();
        for (int i = 0; i < pairs.length; i += 2) {
            fields.add(Map.entry(pairs[i], pairs[i + 1]));
        }
        int at = random.nextInt(fields.size());
        Map.Entry<Value, Value> field = fields.get(at);
        switch (random.nextInt(7)) {
            case 0 -> fields.remove(at);
            case 1 -> fields.add(at, Map.entry(ValueFactory.newString("new"), otherValue(random)));
            case 2 -> Collections.shuffle(fields, random);
            case 3 -> fields.add(random.nextInt(fields.size() + 1), field);
            case 4 -> fields.set(at, Map.entry(otherValue(random), field.getValue()));
            default -> fields.set(at, Map.entry(field.getKey(), mutated(field.getValue(), random)));
        }
        Value[] mutatedPairs = new Value[2 * fields.size()];
        for (int i = 0; i < fields.size(); i++) {
            mutatedPairs[2 * i] = fields.get(i).getKey();
            mutatedPairs[2 * i + 1] = fields.get(i).getValue();
        }
        return ValueFactory.newMap(mutatedPairs);
    }

    private static Value otherValue(Random random) {
        return switch (random.nextInt(12)) {
            case 0 -> ValueFactory.newNil();
            case 1 -> ValueFactory.newBoolean(random.nextBoolean());
            case 2 -> ValueFactory.newInteger(LONGS[random.nextInt(LONGS.length)]);
            case 3 -> ValueFactory.newInteger(new BigInteger(64, random));
            case 4 -> ValueFactory.newFloat(DOUBLES[random.nextInt(DOUBLES.length)]);
            case 5 -> ValueFactory.newFloat(1.5f);
            case 6 -> ValueFactory.newString(TEXTS[random.nextInt(TEXTS.length)]);
            case 7 -> ValueFactory.newString("12");
            case 8 -> ValueFactory.newBinary("QUJD".getBytes(StandardCharsets.US_ASCII));
            case 9 -> ValueFactory.newExtension((byte) random.nextInt(128), new byte[4]);
            case 10 -> ValueFactory.newArray(ValueFactory.newInteger(random.nextInt(300)));
            default ->
                    ValueFactory.newMap(
                            ValueFactory.newString("t"), ValueFactory.newString("text"));
        };
    }

    /** Returns the frame cut short, lengthened or with changed bytes. */
    private static byte[] damaged(byte[] body, Random random) {
        byte[] damaged = body.clone();
        if (random.nextInt(4) == 0) {
            return Arrays.copyOf(damaged, Math.max(0, damaged.length + random.nextInt(8) - 6));
        }
        int changes = 1 + random.nextInt(3);
        for (int i = 0; i < changes; i++) {
            int at = random.nextInt(Math.min(damaged.length, 200));
            damaged[at] =
                    (byte)
                            (random.nextBoolean()
                                    ? damaged[at] ^ (1 << random.nextInt(8))
                                    : random.nextInt(256));
        }
        return damaged;
    }

    private static Object randomRecord(Class<?> type, Random random) throws Exception {
        RecordComponent[] components = type.getRecordComponents();
        Class<?>[] types = new Class<?>[components.length];
        Object[] values = new Object[components.length];
        for (int i = 0; i < components.length; i++) {
            types[i] = components[i].getType();
            values[i] = randomValue(types[i], components[i].getGenericType(), random);
        }
        var constructor = type.getDeclaredConstructor(types);
        constructor.setAccessible(true);
        try {
            return constructor.newInstance(values);
        } catch (InvocationTargetException e) {
            // Some records reject missing values.
            return randomRecord(type, random);
        }
    }

    private static Object randomValue(Class<?> type, Type generic, Random random) throws Exception {
        if (type == long.class) {
            return random.nextBoolean()
                    ? LONGS[random.nextInt(LONGS.length)]
                    : random.nextLong() >> random.nextInt(64);
        } else if (type == int.class) {
            return random.nextBoolean()
                    ? (int) LONGS[random.nextInt(LONGS.length)]
                    : random.nextInt() >> random.nextInt(32);
        } else if (type == double.class) {
            return random.nextBoolean()
                    ? DOUBLES[random.nextInt(DOUBLES.length)]
                    : random.nextGaussian() * 1_000;
        } else if (type == boolean.class) {
            return random.nextBoolean();
        } else if (random.nextInt(8) == 0) {
            return null;
        } else if (type == Long.class) {
            return randomValue(long.class, long.class, random);
        } else if (type == Double.class) {
            return randomValue(double.class, double.class, random);
        } else if (type == String.class) {
            return randomText(random);
        } else if (type == byte[].class) {
            byte[] bytes = new byte[random.nextInt(20) == 0 ? LARGE_BYTES : random.nextInt(600)];
            random.nextBytes(bytes);
            return bytes;
        } else if (type.isEnum()) {
            return type.getEnumConstants()[random.nextInt(type.getEnumConstants().length)];
        } else if (type == List.class) {
            return randomList((ParameterizedType) generic, random);
        } else if (type == Map.class) {
            return randomMap((ParameterizedType) generic, random);
        } else if (type == Edit.class) {
            return random.nextBoolean()
                    ? new Edit.Put(randomEntity())
                    : new Edit.Remove(EntityKey.of(EntityKind.KEY, "k1"));
        } else if (type == Entity.class) {
            return randomEntity();
        }
        try {
            return type.getMethod("of", String.class).invoke(null, "id-" + random.nextInt(1_000));
        } catch (NoSuchMethodException e) {
            return randomRecord(type, random);
        }
    }

    private static Entity randomEntity() {
        return new Account(
                AccountId.of("a"), Contract.of(1, 2), null, Map.of(RegionId.of("r"), 1.0));
    }

    private static String randomText(Random random) {
        String text = TEXTS[random.nextInt(TEXTS.length)];
        if (random.nextInt(6) != 0) {
            return text;
        }
        String unit = random.nextBoolean() ? "x" : "日x";
        int length = TEXT_LENGTHS[random.nextInt(TEXT_LENGTHS.length)];
        return unit.repeat(length / unit.length() + 1).substring(0, length);
    }

    private static Object randomList(ParameterizedType type, Random random) throws Exception {
        List<Object> values = new ArrayList<>();
        Type element = type.getActualTypeArguments()[0];
        int size = random.nextInt(10) == 0 ? random.nextInt(70) : random.nextInt(4);
        for (int i = 0; i < size; i++) {
            values.add(randomValue((Class<?>) element, element, random));
        }
        return values;
    }

    private static Object randomMap(ParameterizedType type, Random random) throws Exception {
        Map<Object, Object> values = new LinkedHashMap<>();
        Type[] types = type.getActualTypeArguments();
        int size = random.nextInt(10) == 0 ? random.nextInt(70) : random.nextInt(4);
        for (int i = 0; i < size; i++) {
            Object key =
                    types[0] == String.class
                            ? randomText(random)
                            : randomValue((Class<?>) types[0], types[0], random);
            values.put(key, randomValue((Class<?>) types[1], types[1], random));
        }
        return values;
    }
}
