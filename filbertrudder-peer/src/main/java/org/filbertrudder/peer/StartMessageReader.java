package org.filbertrudder.peer;

import java.io.IOException;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.StartRecords;

/** Reads the messages between instances and the scheduler of a service. */
final class StartMessageReader {

    private final MessageReader mReader;

    StartMessageReader(MessageReader reader) {
        mReader = reader;
    }

    /** Returns the message; null if the type is another one. */
    PeerMessage read(int type) throws IOException {
        switch (type) {
            case 's' << Byte.SIZE | 'q':
                mReader.begin(MessageLayout.START_REQUESTS);
                return new PeerMessage.StartRequests(
                        field().service(), field().list(this::request));
            case 's' << Byte.SIZE | 'd':
                mReader.begin(MessageLayout.START_DECISIONS);
                return new PeerMessage.StartDecisions(
                        field().service(), field().list(this::decision));
            case 's' << Byte.SIZE | 't':
                return report();
            case 'r' << Byte.SIZE | 'm':
                mReader.begin(MessageLayout.REGION_ROOM);
                return new PeerMessage.RegionRoom(
                        field().region(),
                        field().service(),
                        field().real(),
                        field().real(),
                        field().real());
            default:
                return null;
        }
    }

    private MessageReader field() throws IOException {
        return mReader.field();
    }

    private PeerMessage report() throws IOException {
        mReader.begin(MessageLayout.START_REPORT);
        return new PeerMessage.StartReport(
                field().service(),
                field().truth(),
                field().list(this::open),
                field().list(mReader::nullableNumber),
                field().list(this::ended),
                field().list(mReader::nullableNumber),
                field().list(mReader::nullableNumber),
                field().list(this::statement),
                field().list(this::streams));
    }

    private StartRecords.Request request() throws IOException {
        if (!mReader.array(12)) {
            return null;
        }
        return new StartRecords.Request(
                mReader.number(),
                mReader.account(),
                mReader.integer(),
                prompt(),
                mReader.list(mReader::region),
                mReader.list(mReader::endpoint),
                mReader.truth(),
                mReader.number(),
                mReader.number(),
                mReader.number(),
                mReader.number(),
                mReader.number());
    }

    private StartRecords.Prompt prompt() throws IOException {
        return mReader.array(3)
                ? new StartRecords.Prompt(
                        mReader.list(this::part), mReader.number(), mReader.number())
                : null;
    }

    private StartRecords.Part part() throws IOException {
        return mReader.array(2) ? new StartRecords.Part(mReader.text(), mReader.number()) : null;
    }

    private StartRecords.Decision decision() throws IOException {
        if (!mReader.array(9)) {
            return null;
        }
        return new StartRecords.Decision(
                mReader.number(),
                kind(),
                mReader.endpoint(),
                mReader.region(),
                mReader.number(),
                mReader.text(),
                mReader.number(),
                mReader.integer(),
                mReader.number());
    }

    private StartRecords.Kind kind() throws IOException {
        String name = mReader.text();
        return name == null ? null : StartRecords.Kind.valueOf(name);
    }

    private StartRecords.Open open() throws IOException {
        return mReader.array(5)
                ? new StartRecords.Open(
                        mReader.number(),
                        mReader.endpoint(),
                        prompt(),
                        mReader.truth(),
                        mReader.number())
                : null;
    }

    private StartRecords.Ended ended() throws IOException {
        return mReader.array(2) ? new StartRecords.Ended(mReader.number(), mReader.number()) : null;
    }

    private StartRecords.Statement statement() throws IOException {
        return mReader.array(4)
                ? new StartRecords.Statement(
                        mReader.endpoint(), mReader.integer(), mReader.integer(), mReader.integer())
                : null;
    }

    private StartRecords.Streams streams() throws IOException {
        return mReader.array(3)
                ? new StartRecords.Streams(mReader.endpoint(), mReader.real(), mReader.real())
                : null;
    }
}
