package org.filbertrudder.entry.control;

import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;

/** Defines the keys under which data is kept in the platform's store. */
public final class StoreKeys {

    /** The key of the configuration root. */
    public static final String ROOT = "/filbertrudder/config/root";

    /** The prefix of all configuration keys. */
    public static final String CONFIG = "/filbertrudder/config/";

    /** The prefix of the configuration changes. */
    public static final String CHANGES = "/filbertrudder/config/changes/";

    /** The prefix of the snapshot parts, which is followed by the digest of the part. */
    public static final String SNAPSHOT_PARTS = "/filbertrudder/config/parts/";

    private static final String SHARDS = "/filbertrudder/shards/";
    private static final String ORDERS = "/filbertrudder/orders/";
    private static final String CLAIMS = "/filbertrudder/claims/";

    private StoreKeys() {}

    /** Returns the key of the change that created a revision. */
    public static String change(long revision) {
        return CHANGES + String.format("%012d", revision);
    }

    /** Returns the prefix of the shard ownership records of a region. */
    public static String shardsPrefix(RegionId region) {
        return SHARDS + region + "/";
    }

    /** Returns the key of a shard's ownership record. */
    public static String shard(RegionId region, int shard) {
        return shardsPrefix(region) + String.format("%04d", shard);
    }

    /**
     * Returns the key of the claim on an account's idempotency key.
     *
     * @param digest the digest of the service and the idempotency key
     */
    public static String claim(String account, String digest) {
        return CLAIMS + account + "/" + digest;
    }

    /** Returns the key that the sender of orders to a service in a region holds under a lease. */
    public static String orderSender(RegionId region, ServiceId service) {
        return ORDERS + region + "/" + service + "/giver";
    }

    /** Returns the key of the last fencing token, which is kept independently of leases. */
    public static String orderFencingToken(RegionId region, ServiceId service) {
        return ORDERS + region + "/" + service + "/fence";
    }
}
