package org.filbertrudder.standins;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;

/** Remembers the prompt prefixes used last and publishes its changes late and with gaps. */
final class PrefixCache {

    private static final int PREFIX_CHARACTERS = 256;
    private static final int HASH_DIGITS = 16;
    private static final int RETAINED_EVENTS = 10_000;

    private final Vertx mVertx;
    private final EngineOptions mOptions;
    private final Map<String, Boolean> mPrefixes = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<JsonObject> mEvents = new ArrayDeque<>();
    private long mNextEvent = 1;
    private long mHits;
    private long mMisses;

    PrefixCache(Vertx vertx, EngineOptions options) {
        mVertx = vertx;
        mOptions = options;
    }

    /** Uses the prefix of a prompt; returns whether it was cached. */
    boolean use(JsonObject body) {
        String hash = hash(body);
        boolean hit = mPrefixes.put(hash, true) != null;
        if (hit) {
            mHits++;
            return true;
        }
        mMisses++;
        publish("stored", hash);
        if (mPrefixes.size() > mOptions.cachedPrompts()) {
            String oldest = mPrefixes.keySet().iterator().next();
            mPrefixes.remove(oldest);
            publish("evicted", oldest);
        }
        return false;
    }

    /** Empties the cache, as a restart does. */
    void clear() {
        mPrefixes.clear();
    }

    private void publish(String what, String hash) {
        long number = mNextEvent++;
        if (mOptions.eventGap() > 0 && number % mOptions.eventGap() == 0) {
            return;
        }
        JsonObject event = new JsonObject().put("seq", number).put(what, hash);
        mVertx.setTimer(
                Math.max(1, mOptions.eventLagMs()),
                timer -> {
                    mEvents.addLast(event);
                    if (mEvents.size() > RETAINED_EVENTS) {
                        mEvents.removeFirst();
                    }
                });
    }

    /** Returns the events after the given number. */
    JsonObject eventsAfter(long number) {
        JsonArray events = new JsonArray();
        mEvents.stream().filter(event -> event.getLong("seq") > number).forEach(events::add);
        return new JsonObject().put("events", events);
    }

    long hits() {
        return mHits;
    }

    long misses() {
        return mMisses;
    }

    /** Names a prefix by a hash of the model and the start of the prompt. */
    private static String hash(JsonObject body) {
        Object messages = body.getValue("messages");
        String text = messages == null ? body.getString("prompt", "") : messages.toString();
        String start = text.substring(0, Math.min(PREFIX_CHARACTERS, text.length()));
        byte[] bytes = (body.getString("model", "") + start).getBytes(StandardCharsets.UTF_8);
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(bytes);
            return HexFormat.of().formatHex(digest).substring(0, HASH_DIGITS);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
