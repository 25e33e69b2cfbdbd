package org.filbertrudder.peer;

import java.io.IOException;
import org.filbertrudder.model.message.CrashRecord;
import org.filbertrudder.model.message.ExchangeStep;
import org.filbertrudder.model.message.PeerMessage;

/** Reads the messages with records of crashes. */
final class CrashRecordReader {

    private final MessageReader mReader;

    CrashRecordReader(MessageReader reader) {
        mReader = reader;
    }

    /** Returns the message; null if the type is another one. */
    PeerMessage read(int type) throws IOException {
        if (type != ('c' << Byte.SIZE | 's')) {
            return null;
        }
        mReader.begin(MessageLayout.CRASH_RECORDS);
        return new PeerMessage.CrashRecords(
                step(),
                mReader.field().truth(),
                mReader.field().number(),
                mReader.field().list(this::crashRecord));
    }

    private ExchangeStep step() throws IOException {
        String name = mReader.field().text();
        return name == null ? null : ExchangeStep.valueOf(name);
    }

    private CrashRecord crashRecord() throws IOException {
        return mReader.array(7)
                ? new CrashRecord(
                        mReader.account(),
                        mReader.text(),
                        mReader.list(this::crash),
                        mReader.list(this::crash),
                        mReader.truth(),
                        mReader.number(),
                        mReader.number())
                : null;
    }

    private CrashRecord.Crash crash() throws IOException {
        return mReader.array(2)
                ? new CrashRecord.Crash(mReader.endpoint(), mReader.number())
                : null;
    }
}
