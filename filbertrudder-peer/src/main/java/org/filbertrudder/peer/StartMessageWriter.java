package org.filbertrudder.peer;

import java.io.IOException;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.StartRecords;

/** Writes the messages between instances and the scheduler of a service. */
final class StartMessageWriter {

    private final MessageWriter mWriter;

    StartMessageWriter(MessageWriter writer) {
        mWriter = writer;
    }

    /** Writes the message; returns false if it is of another type. */
    boolean write(PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.StartRequests requests) {
            mWriter.begin(MessageLayout.START_REQUESTS);
            field().service(requests.service());
            field().list(requests.requests(), this::request);
        } else if (message instanceof PeerMessage.StartDecisions decisions) {
            mWriter.begin(MessageLayout.START_DECISIONS);
            field().service(decisions.service());
            field().list(decisions.decisions(), this::decision);
        } else if (message instanceof PeerMessage.StartReport report) {
            report(report);
        } else if (message instanceof PeerMessage.RegionRoom room) {
            mWriter.begin(MessageLayout.REGION_ROOM);
            field().region(room.region());
            field().service(room.service());
            field().real(room.tokensPerSecond());
            field().real(room.startsPerSecond());
            field().real(room.waitMs());
        } else {
            return false;
        }
        return true;
    }

    private MessageWriter field() throws IOException {
        return mWriter.field();
    }

    private void report(PeerMessage.StartReport report) throws IOException {
        mWriter.begin(MessageLayout.START_REPORT);
        field().service(report.service());
        field().truth(report.full());
        field().list(report.open(), this::open);
        field().list(report.begun(), mWriter::nullableNumber);
        field().list(report.ended(), this::ended);
        field().list(report.rejected(), mWriter::nullableNumber);
        field().list(report.cancelled(), mWriter::nullableNumber);
        field().list(report.statements(), this::statement);
        field().list(report.streams(), this::streams);
    }

    private void request(StartRecords.Request request) throws IOException {
        if (!mWriter.array(request, 12)) {
            return;
        }
        mWriter.number(request.number());
        mWriter.account(request.account());
        mWriter.number(request.rank());
        prompt(request.prompt());
        mWriter.list(request.allowedRegions(), mWriter::region);
        mWriter.list(request.excluded(), mWriter::endpoint);
        mWriter.truth(request.forwarded());
        mWriter.number(request.ageMs());
        mWriter.number(request.goalMs());
        mWriter.number(request.waitLimitMs());
        mWriter.number(request.remainingMs());
        mWriter.number(request.digest());
    }

    private void prompt(StartRecords.Prompt prompt) throws IOException {
        if (mWriter.array(prompt, 3)) {
            mWriter.list(prompt.parts(), this::part);
            mWriter.number(prompt.promptTokens());
            mWriter.number(prompt.outputTokens());
        }
    }

    private void part(StartRecords.Part part) throws IOException {
        if (mWriter.array(part, 2)) {
            mWriter.text(part.id());
            mWriter.number(part.tokens());
        }
    }

    private void decision(StartRecords.Decision decision) throws IOException {
        if (!mWriter.array(decision, 9)) {
            return;
        }
        mWriter.number(decision.number());
        mWriter.constant(decision.kind());
        mWriter.endpoint(decision.endpoint());
        mWriter.region(decision.region());
        mWriter.number(decision.retryAfterMs());
        mWriter.text(decision.reason());
        mWriter.number(decision.waitedMs());
        mWriter.number(decision.ahead());
        mWriter.number(decision.aheadTokens());
    }

    private void open(StartRecords.Open open) throws IOException {
        if (mWriter.array(open, 5)) {
            mWriter.number(open.number());
            mWriter.endpoint(open.endpoint());
            prompt(open.prompt());
            mWriter.truth(open.begun());
            mWriter.number(open.remainingMs());
        }
    }

    private void ended(StartRecords.Ended ended) throws IOException {
        if (mWriter.array(ended, 2)) {
            mWriter.number(ended.number());
            mWriter.number(ended.events());
        }
    }

    private void statement(StartRecords.Statement statement) throws IOException {
        if (mWriter.array(statement, 4)) {
            mWriter.endpoint(statement.endpoint());
            mWriter.number(statement.running());
            mWriter.number(statement.waiting());
            mWriter.number(statement.pacePercent());
        }
    }

    private void streams(StartRecords.Streams streams) throws IOException {
        if (mWriter.array(streams, 3)) {
            mWriter.endpoint(streams.endpoint());
            mWriter.real(streams.msPerEvent());
            mWriter.real(streams.missingMs());
        }
    }
}
