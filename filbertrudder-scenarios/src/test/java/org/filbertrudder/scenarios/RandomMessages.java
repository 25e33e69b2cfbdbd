package org.filbertrudder.scenarios;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Change;
import org.filbertrudder.model.Edit;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.Entity;
import org.filbertrudder.model.EntityKey;
import org.filbertrudder.model.EntityKind;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.KeyId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.PeerMessage;

/** Makes messages with odd values: missing, negative, huge, or naming what does not exist. */
final class RandomMessages {

    private static final Class<?>[] KINDS = PeerMessage.class.getPermittedSubclasses();
    private static final int NULL_ODDS = 8;
    private static final int MAX_ELEMENTS = 3;

    private final Random mRandom;

    RandomMessages(long seed) {
        mRandom = new Random(seed);
    }

    /** Returns the next message; never a greeting, which decides about the connection itself. */
    PeerMessage next() {
        Class<?> kind = KINDS[mRandom.nextInt(KINDS.length)];
        return kind == PeerMessage.Hello.class ? next() : (PeerMessage) newRecord(kind);
    }

    private Object newRecord(Class<?> type) {
        RecordComponent[] components = type.getRecordComponents();
        Class<?>[] types = new Class<?>[components.length];
        Object[] values = new Object[components.length];
        for (int i = 0; i < components.length; i++) {
            types[i] = components[i].getType();
            values[i] = value(types[i], components[i].getGenericType());
        }
        try {
            return type.getDeclaredConstructor(types).newInstance(values);
        } catch (ReflectiveOperationException e) {
            throw new AssertionError(type + " refuses " + List.of(components), e);
        }
    }

    private Object value(Class<?> type, Type generic) {
        if (type == long.class) {
            return oddNumber();
        } else if (type == int.class) {
            return (int) oddNumber();
        } else if (type == double.class) {
            return mRandom.nextBoolean() ? -1e300 : mRandom.nextDouble();
        } else if (type == boolean.class) {
            return mRandom.nextBoolean();
        } else if (mRandom.nextInt(NULL_ODDS) == 0) {
            return null;
        }
        return object(type, generic);
    }

    private long oddNumber() {
        long[] choices = {0, 1, -1, 7, Long.MIN_VALUE, Integer.MAX_VALUE, mRandom.nextInt(100)};
        return choices[mRandom.nextInt(choices.length)];
    }

    private Object object(Class<?> type, Type generic) {
        if (type == String.class) {
            return "odd" + mRandom.nextInt(9);
        } else if (type == byte[].class) {
            return new byte[mRandom.nextInt(40)];
        } else if (type == List.class) {
            return list(generic);
        } else if (type == Map.class) {
            return map(generic);
        } else if (type.isEnum()) {
            return type.getEnumConstants()[mRandom.nextInt(type.getEnumConstants().length)];
        } else if (type == Edit.class) {
            return new Edit.Remove(EntityKey.of(EntityKind.KEY, "none"));
        }
        return idOrRecord(type);
    }

    private Object idOrRecord(Class<?> type) {
        if (type == InstanceId.class) {
            return InstanceId.of("nobody-" + mRandom.nextInt(3));
        } else if (type == RegionId.class) {
            return RegionId.of("nowhere");
        } else if (type == FailureDomainId.class) {
            return FailureDomainId.of("nowhere-a");
        } else if (type == AccountId.class) {
            return AccountId.of(mRandom.nextBoolean() ? "federation" : "none");
        } else if (type == KeyId.class) {
            return KeyId.of("none");
        } else if (type == EndpointId.class) {
            return EndpointId.of("none");
        }
        return newRecord(type);
    }

    private Map<String, Object> map(Type generic) {
        Type value = ((ParameterizedType) generic).getActualTypeArguments()[1];
        Map<String, Object> entries = new HashMap<>();
        entries.put("odd", value == Long.class ? (Object) oddNumber() : "value");
        return entries;
    }

    private List<Object> list(Type generic) {
        Class<?> element = (Class<?>) ((ParameterizedType) generic).getActualTypeArguments()[0];
        List<Object> values = new ArrayList<>();
        int size = element == Change.class || element == Entity.class ? 0 : MAX_ELEMENTS;
        for (int i = 0; i < size; i++) {
            values.add(value(element, element));
        }
        return values;
    }
}
