package org.filbertrudder.gateway.control;

import java.util.List;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.InvalidValueException;
import org.filbertrudder.model.Json;
import org.filbertrudder.model.message.CrashRecord;

/**
 * Stores the records of refused requests.
 *
 * @param records the records, with the time since the last crash as of the write
 * @param writtenMs when the records were written, in milliseconds since the epoch
 */
public record CrashRecordDocument(List<CrashRecord> records, long writtenMs) {

    private static final ComponentLogger LOG = ComponentLogger.of("crashes");

    /** Returns the text of records. */
    public static String format(List<CrashRecord> records) {
        return Json.write(new CrashRecordDocument(records, System.currentTimeMillis()));
    }

    /** Returns the records of a text, with their present age; none if it cannot be read. */
    public static List<CrashRecord> parse(String text) {
        try {
            return Json.read(text, CrashRecordDocument.class).atTime(System.currentTimeMillis());
        } catch (InvalidValueException e) {
            // It is replaced by the next write.
            LOG.warn(
                    "The stored records of crashes cannot be read.",
                    LogField.of("why", e.getMessage()));
            return List.of();
        }
    }

    /** Returns the records with their age at a time; clocks of instances may differ. */
    private List<CrashRecord> atTime(long nowMs) {
        long elapsedMs = Math.max(0, nowMs - writtenMs);
        return records.stream().map(each -> older(each, elapsedMs)).toList();
    }

    private static CrashRecord older(CrashRecord crashRecord, long ms) {
        long answeredAgeMs = crashRecord.answeredAgeMs();
        return new CrashRecord(
                crashRecord.account(),
                crashRecord.bodySha256(),
                crashRecord.crashes(),
                crashRecord.cleared(),
                crashRecord.ranAlone(),
                crashRecord.ageMs() + ms,
                answeredAgeMs < 0 ? answeredAgeMs : answeredAgeMs + ms);
    }
}
