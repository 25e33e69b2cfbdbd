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

/**
 * Simulates an LRU cache of prompt prefixes that publishes its events with a delay and with gaps.
 */
final class PrefixCache {

    private static final int PREFIX_LENGTH_CHARACTERS = 256;
    private static final int HASH_HEX_DIGITS = 16;
    private static final int MAX_RETAINED_EVENTS = 10_000;

    private final Vertx mVertx;
    private final EngineOptions mOptions;
    private final Map<String, Boolean> mPrefixes = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<JsonObject> mEvents = new ArrayDeque<>();
    private long mNextSequenceNumber = 1;
    private long mHits;
    private long mMisses;

    PrefixCache(Vertx vertx, EngineOptions options) {
        mVertx = vertx;
        mOptions = options;
    }

    /** Looks up the prefix of a prompt and stores it on a miss; returns whether it was cached. */
    boolean lookUpOrStore(JsonObject body) {
        String prefixHash = prefixHash(body);
        boolean hit = mPrefixes.put(prefixHash, true) != null;
        if (hit) {
            mHits++;
            return true;
        }
        mMisses++;
        publish("stored", prefixHash);
        if (mPrefixes.size() > mOptions.cachedPrompts()) {
            String leastRecentlyUsed = mPrefixes.keySet().iterator().next();
            mPrefixes.remove(leastRecentlyUsed);
            publish("evicted", leastRecentlyUsed);
        }
        return false;
    }

    /** Empties the cache, as a restart of the engine does. */
    void clear() {
        mPrefixes.clear();
    }

    private void publish(String eventType, String prefixHash) {
        long sequenceNumber = mNextSequenceNumber++;
        if (mOptions.eventGap() > 0 && sequenceNumber % mOptions.eventGap() == 0) {
            return;
        }
        JsonObject event = new JsonObject().put("seq", sequenceNumber).put(eventType, prefixHash);
        mVertx.setTimer(
                Math.max(1, mOptions.eventLagMs()),
                timer -> {
                    mEvents.addLast(event);
                    if (mEvents.size() > MAX_RETAINED_EVENTS) {
                        mEvents.removeFirst();
                    }
                });
    }

    /** Returns the visible events with a higher sequence number. */
    JsonObject eventsAfter(long sequenceNumber) {
        JsonArray events = new JsonArray();
        mEvents.stream()
                .filter(event -> event.getLong("seq") > sequenceNumber)
                .forEach(events::add);
        return new JsonObject().put("events", events);
    }

    long hits() {
        return mHits;
    }

    long misses() {
        return mMisses;
    }

    /** Returns a hash of the model and the first characters of the prompt. */
    private static String prefixHash(JsonObject body) {
        Object messages = body.getValue("messages");
        String text = messages == null ? body.getString("prompt", "") : messages.toString();
        String start = text.substring(0, Math.min(PREFIX_LENGTH_CHARACTERS, text.length()));
        byte[] bytes = (body.getString("model", "") + start).getBytes(StandardCharsets.UTF_8);
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(bytes);
            return HexFormat.of().formatHex(digest).substring(0, HASH_HEX_DIGITS);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
