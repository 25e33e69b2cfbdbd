package org.filbertrudder.gateway.control;

import java.util.List;
import org.filbertrudder.model.message.CrashRecord;

/**
 * Holds the records of refused requests that are in the store.
 *
 * @param revision the revision of the records; 0 if there are none
 * @param records the records
 * @param written whether a write has taken effect
 */
public record StoredCrashRecords(long revision, List<CrashRecord> records, boolean written) {

    /** The state of a store without records. */
    public static final StoredCrashRecords NONE = new StoredCrashRecords(0, List.of(), false);
}
