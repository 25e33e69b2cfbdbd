package org.filbertrudder.peer;

import java.io.IOException;
import org.filbertrudder.model.message.CrashRecord;
import org.filbertrudder.model.message.PeerMessage;

/** Writes the messages with records of crashes. */
final class CrashRecordWriter {

    private final MessageWriter mWriter;

    CrashRecordWriter(MessageWriter writer) {
        mWriter = writer;
    }

    /** Writes the message; returns false if it is of another type. */
    boolean write(PeerMessage message) throws IOException {
        if (!(message instanceof PeerMessage.CrashRecords records)) {
            return false;
        }
        mWriter.begin(MessageLayout.CRASH_RECORDS);
        mWriter.field().constant(records.step());
        mWriter.field().truth(records.informed());
        mWriter.field().number(records.digest());
        mWriter.field().list(records.records(), this::crashRecord);
        return true;
    }

    private void crashRecord(CrashRecord crashRecord) throws IOException {
        if (mWriter.array(crashRecord, 7)) {
            mWriter.account(crashRecord.account());
            mWriter.text(crashRecord.bodySha256());
            mWriter.list(crashRecord.crashes(), this::crash);
            mWriter.list(crashRecord.cleared(), this::crash);
            mWriter.truth(crashRecord.ranAlone());
            mWriter.number(crashRecord.ageMs());
            mWriter.number(crashRecord.answeredAgeMs());
        }
    }

    private void crash(CrashRecord.Crash crash) throws IOException {
        if (mWriter.array(crash, 2)) {
            mWriter.endpoint(crash.endpoint());
            mWriter.number(crash.atMs());
        }
    }
}
