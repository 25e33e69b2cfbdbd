package org.filbertrudder.standins;

import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/** Holds the keys and values of the store with their revisions. */
final class StoreData {

    private final NavigableMap<String, Item> mItems = new TreeMap<>();
    private NavigableMap<String, Item> mSaved = new TreeMap<>();
    private long mRevision = 1;

    /** Returns the items from a key up to, but not with, an end; a null end means one key. */
    List<Item> range(String key, String end) {
        if (end == null) {
            Item item = mItems.get(key);
            return item == null ? List.of() : List.of(item);
        }
        return List.copyOf(mItems.subMap(key, true, end, false).values());
    }

    long modRevision(String key) {
        Item item = mItems.get(key);
        return item == null ? 0 : item.modRevision();
    }

    void startWrite() {
        mRevision++;
    }

    Item put(String key, String value) {
        Item old = mItems.get(key);
        long created = old == null ? mRevision : old.createRevision();
        Item item = new Item(key, value, created, mRevision);
        mItems.put(key, item);
        return item;
    }

    void delete(String key) {
        mItems.remove(key);
    }

    /** Keeps the present state for a later return to it. */
    void save() {
        mSaved = new TreeMap<>(mItems);
    }

    /** Goes back to the saved state, as after a restored backup. */
    void restore() {
        mItems.clear();
        mItems.putAll(mSaved);
    }

    long revision() {
        return mRevision;
    }

    int size() {
        return mItems.size();
    }

    /**
     * Holds one key with its value, both in base64.
     *
     * @param key the key in plain text
     * @param value the value as it was sent
     * @param createRevision the revision that created the key
     * @param modRevision the revision of the last change
     */
    record Item(String key, String value, long createRevision, long modRevision) {}
}
