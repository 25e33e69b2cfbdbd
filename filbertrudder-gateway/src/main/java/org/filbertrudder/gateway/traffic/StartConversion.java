package org.filbertrudder.gateway.traffic;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import org.filbertrudder.model.AllowedRegions;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.StartRecords;
import org.filbertrudder.policy.routing.PromptDemand;
import org.filbertrudder.policy.routing.PromptPart;
import org.filbertrudder.policy.scheduling.OpenStart;
import org.filbertrudder.policy.scheduling.StartDecision;
import org.filbertrudder.policy.scheduling.StartId;
import org.filbertrudder.policy.scheduling.StartRequest;

/** Converts between the records of messages and the types of the scheduler, with checks. */
final class StartConversion {

    /** The longest time that a message may state, in milliseconds. */
    private static final long MAX_MS = 86_400_000;

    /** The largest number of tokens that a message may state; their sums do not overflow. */
    private static final long MAX_TOKENS = 1_000_000_000;

    private static final int MAX_PARTS = 4_096;
    private static final int MAX_LISTED = 1_024;
    private static final int MAX_RANK = 100;
    private static final int MAX_REQUESTS = 1_000_000;
    private static final int MIN_PACE_PERCENT = 10;
    private static final int MAX_PACE_PERCENT = 2_000;

    private StartConversion() {}

    /** Returns the record of a prompt. */
    static StartRecords.Prompt record(PromptDemand prompt) {
        List<StartRecords.Part> parts = new ArrayList<>(prompt.parts().size());
        for (PromptPart part : prompt.parts()) {
            parts.add(new StartRecords.Part(part.id(), part.tokens()));
        }
        return new StartRecords.Prompt(parts, prompt.promptTokens(), prompt.outputTokens());
    }

    /**
     * Returns the record of a request that waits.
     *
     * @param allowedRegions where it may run; at least one region, as an empty list means any
     */
    static StartRecords.Request record(
            ServiceStarts.WaitingStart waiting, AllowedRegions allowedRegions, long nowMs) {
        if (allowedRegions.allowsNone()) {
            throw new IllegalArgumentException("A request that may run nowhere has no record.");
        }
        GatewayExchange exchange = waiting.exchange();
        return new StartRecords.Request(
                waiting.number(),
                exchange.queueAccount(),
                Math.max(0, Math.min(MAX_RANK, exchange.priority())),
                record(exchange.head().promptDemand().orElseThrow()),
                allowedRegions.listed(),
                List.copyOf(exchange.triedEndpoints()),
                exchange.forwarded(),
                limited(nowMs - exchange.arrivedMs()),
                limited(exchange.route().goalMs()),
                limited(waiting.latestStartMs() - nowMs),
                limited(exchange.deadlineMs() - nowMs),
                StartDigest.of(exchange));
    }

    private static long limited(long ms) {
        return Math.max(0, Math.min(MAX_MS, ms));
    }

    /** Returns the record of a decision on a request that arrived behind others. */
    static StartRecords.Decision record(
            StartDecision decision, long waitedMs, int ahead, long aheadTokens) {
        long number = decision.id().number();
        if (decision instanceof StartDecision.Start start) {
            return new StartRecords.Decision(
                    number,
                    StartRecords.Kind.START,
                    start.endpoint(),
                    null,
                    0,
                    null,
                    waitedMs,
                    ahead,
                    aheadTokens);
        }
        if (decision instanceof StartDecision.Forward forward) {
            return new StartRecords.Decision(
                    number,
                    StartRecords.Kind.FORWARD,
                    null,
                    forward.region(),
                    0,
                    null,
                    waitedMs,
                    ahead,
                    aheadTokens);
        }
        StartDecision.Refuse refuse = (StartDecision.Refuse) decision;
        return new StartRecords.Decision(
                number,
                StartRecords.Kind.REFUSE,
                null,
                null,
                refuse.retryAfterMs(),
                refuse.reason().name(),
                waitedMs,
                ahead,
                aheadTokens);
    }

    /** Returns the request of an instance; empty if the record is malformed. */
    static Optional<StartRequest> request(InstanceId sender, StartRecords.Request record) {
        boolean valid =
                record != null
                        && record.account() != null
                        && isWithin(record.rank(), MAX_RANK)
                        && isValid(record.prompt())
                        && isValid(record.allowedRegions())
                        && isValid(record.excluded())
                        && isWithin(record.ageMs(), MAX_MS)
                        && isWithin(record.goalMs(), MAX_MS)
                        && isWithin(record.waitLimitMs(), MAX_MS)
                        && isWithin(record.remainingMs(), MAX_MS);
        if (!valid) {
            return Optional.empty();
        }
        return Optional.of(
                new StartRequest(
                        new StartId(sender, record.number()),
                        record.account(),
                        record.rank(),
                        prompt(record.prompt()),
                        allowedRegions(record),
                        new HashSet<>(record.excluded()),
                        record.forwarded(),
                        record.ageMs(),
                        record.goalMs(),
                        record.waitLimitMs(),
                        record.remainingMs(),
                        record.digest()));
    }

    private static AllowedRegions allowedRegions(StartRecords.Request record) {
        return record.allowedRegions().isEmpty()
                ? AllowedRegions.any()
                : AllowedRegions.only(record.allowedRegions());
    }

    /** Returns the open request of an instance; empty if the record is malformed. */
    static Optional<OpenStart> open(InstanceId sender, StartRecords.Open record) {
        boolean valid =
                record != null
                        && record.endpoint() != null
                        && isValid(record.prompt())
                        && isWithin(record.remainingMs(), MAX_MS);
        return valid
                ? Optional.of(
                        new OpenStart(
                                new StartId(sender, record.number()),
                                record.endpoint(),
                                prompt(record.prompt()),
                                record.begun(),
                                record.remainingMs()))
                : Optional.empty();
    }

    /** Returns whether the statement of an endpoint is well-formed. */
    static boolean isValid(StartRecords.Statement statement) {
        return statement != null
                && statement.endpoint() != null
                && isWithin(statement.running(), MAX_REQUESTS)
                && isWithin(statement.waiting(), MAX_REQUESTS)
                && (statement.pacePercent() == 0
                        || (statement.pacePercent() >= MIN_PACE_PERCENT
                                && statement.pacePercent() <= MAX_PACE_PERCENT));
    }

    /** Returns the pace of a statement, if it has one. */
    static OptionalInt pacePercent(StartRecords.Statement statement) {
        return statement.pacePercent() == 0
                ? OptionalInt.empty()
                : OptionalInt.of(statement.pacePercent());
    }

    /** Returns whether the description of streams is well-formed. */
    static boolean isValid(StartRecords.Streams streams) {
        return streams != null
                && streams.endpoint() != null
                && isAmount(streams.msPerEvent())
                && isAmount(streams.missingMs());
    }

    /** Returns whether the end of a request is well-formed. */
    static boolean isValid(StartRecords.Ended ended) {
        return ended != null && isWithin(ended.events(), MAX_TOKENS);
    }

    /** Returns whether the decision is well-formed. */
    static boolean isValid(StartRecords.Decision decision) {
        if (decision == null || decision.kind() == null) {
            return false;
        }
        return switch (decision.kind()) {
            case START -> decision.endpoint() != null;
            case FORWARD -> decision.region() != null;
            case REFUSE -> decision.reason() != null && isWithin(decision.retryAfterMs(), MAX_MS);
        };
    }

    /** Returns whether the value is an amount that can be calculated with. */
    static boolean isAmount(double value) {
        return value >= 0 && value <= MAX_TOKENS;
    }

    private static boolean isWithin(long value, long max) {
        return value >= 0 && value <= max;
    }

    private static boolean isValid(List<?> values) {
        return values != null
                && values.size() <= MAX_LISTED
                && values.stream().allMatch(Objects::nonNull);
    }

    private static boolean isValid(StartRecords.Prompt prompt) {
        return prompt != null
                && prompt.parts() != null
                && prompt.parts().size() <= MAX_PARTS
                && isWithin(prompt.promptTokens(), MAX_TOKENS)
                && isWithin(prompt.outputTokens(), MAX_TOKENS)
                && prompt.parts().stream()
                        .allMatch(
                                part ->
                                        part != null
                                                && part.id() != null
                                                && isWithin(part.tokens(), MAX_TOKENS));
    }

    private static PromptDemand prompt(StartRecords.Prompt record) {
        List<PromptPart> parts = new ArrayList<>(record.parts().size());
        for (StartRecords.Part part : record.parts()) {
            parts.add(new PromptPart(part.id(), part.tokens()));
        }
        return new PromptDemand(parts, record.promptTokens(), record.outputTokens());
    }
}
