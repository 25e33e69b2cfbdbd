package org.filbertrudder.standins;

import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/** Holds the keys, values and revisions of the simulated store. */
final class StoreData {

    private final NavigableMap<String, Item> mItems = new TreeMap<>();
    private NavigableMap<String, Item> mBackup = new TreeMap<>();
    private long mRevision = 1;

    /**
     * Returns the items from a key (inclusive) to an end (exclusive), or only the item of the key
     * if the end is null.
     */
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
        Item previous = mItems.get(key);
        long createRevision = previous == null ? mRevision : previous.createRevision();
        Item item = new Item(key, value, createRevision, mRevision);
        mItems.put(key, item);
        return item;
    }

    void delete(String key) {
        mItems.remove(key);
    }

    /** Saves the current items as a backup. */
    void save() {
        mBackup = new TreeMap<>(mItems);
    }

    /** Restores the items of the last backup; the revision counter is not reset. */
    void restore() {
        mItems.clear();
        mItems.putAll(mBackup);
    }

    long revision() {
        return mRevision;
    }

    int size() {
        return mItems.size();
    }

    /**
     * Holds a key with its value and revisions.
     *
     * @param key the decoded key
     * @param value the value as received, in base64
     * @param createRevision the revision that created the key
     * @param modRevision the revision that last changed the key
     */
    record Item(String key, String value, long createRevision, long modRevision) {}
}
