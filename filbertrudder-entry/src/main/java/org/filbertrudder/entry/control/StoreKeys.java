package org.filbertrudder.entry.control;

import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;

/** Names the keys that the system uses in the platform's store. */
public final class StoreKeys {

    /** The root of the configuration. */
    public static final String ROOT = "/filbertrudder/config/root";

    /** The prefix of all configuration keys. */
    public static final String CONFIG = "/filbertrudder/config/";

    /** The prefix of the changes. */
    public static final String CHANGES = "/filbertrudder/config/changes/";

    /** The prefix of the snapshot parts, which are named by their digest. */
    public static final String PARTS = "/filbertrudder/config/parts/";

    private static final String SHARDS = "/filbertrudder/shards/";
    private static final String ORDERS = "/filbertrudder/orders/";
    private static final String CLAIMS = "/filbertrudder/claims/";

    private StoreKeys() {}

    /** Returns the key of the change that created a revision. */
    public static String change(long revision) {
        return CHANGES + String.format("%012d", revision);
    }

    /** Returns the prefix of the shard owners of a region. */
    public static String shards(RegionId region) {
        return SHARDS + region + "/";
    }

    /** Returns the key of a shard's owner. */
    public static String shard(RegionId region, int shard) {
        return shards(region) + String.format("%04d", shard);
    }

    /** Returns the key of the claim on an idempotency key. */
    public static String claim(String account, String digest) {
        return CLAIMS + account + "/" + digest;
    }

    /** Returns the key that the giver of orders to a service in a region holds under a lease. */
    public static String orderGiver(RegionId region, ServiceId service) {
        return ORDERS + region + "/" + service + "/giver";
    }

    /** Returns the key of the last fencing number, which outlives all leases. */
    public static String orderFence(RegionId region, ServiceId service) {
        return ORDERS + region + "/" + service + "/fence";
    }
}
