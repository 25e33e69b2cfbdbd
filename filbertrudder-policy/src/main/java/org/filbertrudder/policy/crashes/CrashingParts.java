package org.filbertrudder.policy.crashes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.filbertrudder.model.message.PartEvidence;
import org.filbertrudder.model.message.PartEvidence.LostRequest;
import org.filbertrudder.policy.RendezvousHashing;

/**
 * Finds the parts of prompts that crash the endpoints which begin to answer a request with them.
 *
 * <p>A crash interrupts many requests, and each of them has several parts. Those whose answer had
 * begun prove their parts sound. The parts of the others are suspected until a request with them
 * that was sent later begins its answer. A part is blocked after {@link #BLOCKING_LOSSES}
 * successive losses of at least {@link #MIN_REQUESTS} requests. A part that has been answered
 * lately needs {@link #BLOCKING_LOSSES_ANSWERED}, with time between them for answers to arrive, as
 * popular parts are in each crash.
 *
 * <p>The losses of a part are counted by causality instead of by time: a lost request counts one
 * more than was known when it was sent. A crash that several instances see, several requests that
 * are lost in it, and crashes of many endpoints at the same moment thus count once, whatever the
 * clocks say. The evidence of a part only grows, and merging it is commutative, associative and
 * idempotent, so instances agree whatever the order in which they learn it.
 */
public final class CrashingParts {

    /** The successive losses after which a part is blocked. */
    public static final int BLOCKING_LOSSES = 3;

    /** The successive losses after which a part is blocked that has been answered lately. */
    public static final int BLOCKING_LOSSES_ANSWERED = 6;

    /** The number of different requests that must have been lost before a part is blocked. */
    public static final int MIN_REQUESTS = 2;

    /**
     * The number of different requests lost at as many endpoints at the same time after which a
     * part is blocked that has not been answered lately.
     */
    public static final int BLOCKING_ENDPOINTS = 3;

    /** The answers to prompts after which an instance knows which parts are answered. */
    private static final long MIN_ANSWERS = 50;

    /** The maximum number of parts with evidence. */
    public static final int MAX_PARTS = 1_024;

    /** The parts of a request beyond this number are not followed. */
    public static final int MAX_PARTS_PER_REQUEST = 64;

    /** How long the evidence of a part that is not blocked is kept, in milliseconds. */
    public static final long SUSPICION_RETENTION_MS = 600_000;

    /** How long a part stays blocked after its last loss, in milliseconds. */
    public static final long BLOCK_RETENTION_MS = 86_400_000;

    /** The time after the last loss at which a blocked part is tried again, for each trial. */
    private static final List<Long> TRIAL_DELAYS_MS = List.of(60_000L, 600_000L);

    /**
     * The minimum time between two losses of a part that has been answered lately, in milliseconds.
     */
    private static final long MIN_LOSS_INTERVAL_MS = 500;

    /** The maximum number of parts whose latest answer is remembered. */
    private static final int MAX_ANSWERED_PARTS = 4_096;

    private static final int MAX_KEPT_REQUESTS = 6;
    private static final int MAX_PART_ID_LENGTH = 128;

    private static final Comparator<LostRequest> LATEST_FIRST =
            Comparator.comparingInt(LostRequest::losses)
                    .reversed()
                    .thenComparingLong(LostRequest::request)
                    .thenComparingLong(LostRequest::endpoint);

    private final Map<String, Entry> mEntries = new HashMap<>();
    private final LinkedHashMap<String, Long> mAnsweredMs = new LinkedHashMap<>(16, 0.75f, true);
    private long mAnswers;
    private int mBlocked;
    private long mDigest;

    /** Says what may become of a request. */
    public enum Decision {
        /** The request may run. */
        ALLOWED,
        /** The request has a blocked part and must not run. */
        BLOCKED,
        /** The request may run to show whether its only blocked part still crashes endpoints. */
        TRIAL
    }

    /** Returns the parts of a request that is about to be sent, with what is known of them. */
    public SentParts sent(List<String> parts, long nowMs) {
        if (parts.isEmpty()) {
            return SentParts.NONE;
        }
        List<String> followed = parts.subList(0, Math.min(parts.size(), MAX_PARTS_PER_REQUEST));
        return new SentParts(
                followed,
                followed.stream().map(this::knownLosses).toList(),
                followed.stream().map(part -> lossesIfLost(part, nowMs)).toList());
    }

    private int knownLosses(String part) {
        Entry entry = mEntries.get(part);
        return entry == null ? 0 : entry.mLosses;
    }

    private int lossesIfLost(String part, long nowMs) {
        Entry entry = mEntries.get(part);
        if (entry == null) {
            return 1;
        }
        boolean tooSoon = entry.mAnswered && nowMs - entry.mRaisedMs < MIN_LOSS_INTERVAL_MS;
        return entry.mLosses + (tooSoon ? 0 : 1);
    }

    /**
     * Returns whether this instance has seen enough answers to prompts to know which parts are
     * answered.
     */
    private boolean knowsAnswers() {
        return mAnswers >= MIN_ANSWERS;
    }

    private boolean isAnswered(String part, long nowMs) {
        Long answeredMs = mAnsweredMs.get(part);
        return answeredMs != null && nowMs - answeredMs <= SUSPICION_RETENTION_MS;
    }

    /**
     * Records that a request was lost before its answer began.
     *
     * @param request a hash of the request's content
     * @param endpoint a hash of the endpoint's id
     * @return the evidence that has changed
     */
    public List<PartEvidence> recordLoss(SentParts sent, long request, long endpoint, long nowMs) {
        Optional<String> blocked = sent.parts().stream().filter(this::isBlocked).findFirst();
        List<PartEvidence> changed = new ArrayList<>();
        for (int i = 0; i < sent.parts().size(); i++) {
            String part = sent.parts().get(i);
            // A blocked part explains the loss, so the others are not suspected because of it.
            if (blocked.isEmpty() || isBlocked(part)) {
                int losses = sent.lossesIfLost().get(i);
                boolean answered = isAnswered(part, nowMs);
                List<LostRequest> requests =
                        List.of(new LostRequest(request, losses, knowsAnswers() ? endpoint : 0));
                addChanged(
                        grow(new PartEvidence(part, losses, 0, answered, requests, 0), nowMs),
                        changed);
            }
        }
        return changed;
    }

    /**
     * Records that the answer to a request has begun.
     *
     * @return the evidence that has changed
     */
    public List<PartEvidence> recordAnswer(SentParts sent, long nowMs) {
        if (sent.parts().isEmpty()) {
            return List.of();
        }
        List<PartEvidence> changed = new ArrayList<>();
        mAnswers++;
        for (int i = 0; i < sent.parts().size(); i++) {
            String part = sent.parts().get(i);
            mAnsweredMs.put(part, nowMs);
            Entry entry = mEntries.get(part);
            if (entry != null && sent.knownLosses().get(i) > entry.mCleared) {
                addChanged(clear(entry, sent.knownLosses().get(i), nowMs), changed);
            }
        }
        while (mAnsweredMs.size() > MAX_ANSWERED_PARTS) {
            mAnsweredMs.remove(mAnsweredMs.keySet().iterator().next());
        }
        return changed;
    }

    /** Allows a part again, as an operator demands; returns the evidence that has changed. */
    public Optional<PartEvidence> allow(String part, long nowMs) {
        Entry entry = mEntries.get(part);
        return entry == null || entry.mLosses == entry.mCleared
                ? Optional.empty()
                : clear(entry, entry.mLosses, nowMs);
    }

    private Optional<PartEvidence> clear(Entry entry, int cleared, long nowMs) {
        return grow(
                new PartEvidence(
                        entry.mPart, cleared, cleared, true, List.of(), entry.ageMs(nowMs)),
                nowMs);
    }

    private static void addChanged(Optional<PartEvidence> evidence, List<PartEvidence> changed) {
        evidence.ifPresent(changed::add);
    }

    /**
     * Merges the evidence of another instance or of an earlier life of this one, and adds whether
     * requests with the part have been answered here.
     *
     * @return the merged evidence if it has changed
     */
    public Optional<PartEvidence> merge(PartEvidence evidence, long nowMs) {
        if (!isValid(evidence)) {
            return Optional.empty();
        }
        boolean answered = evidence.answered() || isAnswered(evidence.part(), nowMs);
        return grow(
                new PartEvidence(
                        evidence.part(),
                        evidence.losses(),
                        evidence.cleared(),
                        answered,
                        evidence.requests(),
                        evidence.ageMs()),
                nowMs);
    }

    private static boolean isValid(PartEvidence evidence) {
        return evidence != null
                && evidence.part() != null
                && !evidence.part().isEmpty()
                && evidence.part().length() <= MAX_PART_ID_LENGTH
                && evidence.cleared() >= 0
                && evidence.losses() >= evidence.cleared()
                && evidence.ageMs() >= 0
                && evidence.ageMs() <= BLOCK_RETENTION_MS
                && evidence.requests().size() <= MAX_KEPT_REQUESTS
                && evidence.requests().stream()
                        .allMatch(each -> each != null && each.losses() <= evidence.losses());
    }

    private Optional<PartEvidence> grow(PartEvidence evidence, long nowMs) {
        Entry entry = mEntries.get(evidence.part());
        boolean isNew = entry == null;
        if (isNew) {
            entry = new Entry(evidence.part(), nowMs - evidence.ageMs());
        }
        boolean wasBlocked = entry.isBlocked();
        long previousHash = isNew ? 0 : entry.hash();
        if (!entry.grow(evidence, nowMs) || (isNew && entry.isExpired(nowMs))) {
            return Optional.empty();
        }
        if (isNew) {
            mEntries.put(entry.mPart, entry);
        }
        mDigest += entry.hash() - previousHash;
        mBlocked += (entry.isBlocked() ? 1 : 0) - (wasBlocked ? 1 : 0);
        Optional<PartEvidence> changed = Optional.of(entry.evidence(nowMs));
        if (mEntries.size() > MAX_PARTS) {
            mEntries.values().stream().min(Entry.LEAST_SUSPECTED_FIRST).ifPresent(this::remove);
        }
        return changed;
    }

    private void remove(Entry entry) {
        mEntries.remove(entry.mPart);
        mDigest -= entry.hash();
        mBlocked -= entry.isBlocked() ? 1 : 0;
    }

    /** Drops evidence beyond its retention time; returns the parts that were blocked until now. */
    public List<String> expire(long nowMs) {
        List<Entry> expired =
                mEntries.values().stream().filter(entry -> entry.isExpired(nowMs)).toList();
        expired.forEach(this::remove);
        return expired.stream().filter(Entry::isBlocked).map(entry -> entry.mPart).toList();
    }

    /** Returns whether requests with the part are refused. */
    public boolean isBlocked(String part) {
        Entry entry = mBlocked == 0 ? null : mEntries.get(part);
        return entry != null && entry.isBlocked();
    }

    /** Returns the part because of which a request is refused, if there is one. */
    public Optional<String> refusedPart(List<String> parts) {
        return refusedParts(parts).stream().findFirst();
    }

    private List<String> refusedParts(List<String> parts) {
        if (mBlocked == 0) {
            return List.of();
        }
        List<String> blocked = parts.stream().filter(this::isBlocked).distinct().toList();
        boolean isTest = blocked.size() == 1 && hasOtherExplanation(mEntries.get(blocked.get(0)));
        return isTest ? List.of() : blocked;
    }

    /** Returns whether another blocked part was in the same lost requests as the given one. */
    private boolean hasOtherExplanation(Entry entry) {
        return mEntries.values().stream()
                .anyMatch(
                        other ->
                                other != entry
                                        && other.isBlocked()
                                        && other.wasIn(entry.mRequests));
    }

    /**
     * Decides whether a request may be sent.
     *
     * @param triesPart tells whether this instance is the one that tries a part again
     */
    public Decision decide(List<String> parts, Predicate<String> triesPart, long nowMs) {
        List<String> refused = refusedParts(parts);
        if (refused.isEmpty()) {
            return Decision.ALLOWED;
        }
        String part = refused.get(0);
        boolean isTrial =
                refused.size() == 1 && mEntries.get(part).isTrialDue(nowMs) && triesPart.test(part);
        return isTrial ? Decision.TRIAL : Decision.BLOCKED;
    }

    /** Records that a request with a blocked part is sent to try the part. */
    public void recordTrial(List<String> parts, long nowMs) {
        refusedPart(parts).ifPresent(part -> mEntries.get(part).mTriedMs = nowMs);
    }

    /** Returns all evidence, the most suspected parts first. */
    public List<PartEvidence> evidence(long nowMs) {
        return mEntries.values().stream()
                .sorted(Entry.LEAST_SUSPECTED_FIRST.reversed())
                .map(entry -> entry.evidence(nowMs))
                .toList();
    }

    /** Returns the evidence of the blocked parts. */
    public List<PartEvidence> blocked(long nowMs) {
        return mEntries.values().stream()
                .filter(Entry::isBlocked)
                .map(entry -> entry.evidence(nowMs))
                .toList();
    }

    /** Returns a digest of all evidence, equal for instances that know the same. */
    public long digest() {
        return mDigest;
    }

    /** Returns the number of parts with evidence. */
    public int size() {
        return mEntries.size();
    }

    /** Returns the number of blocked parts. */
    public int blockedCount() {
        return mBlocked;
    }

    /** Holds the evidence of one part. */
    private static final class Entry {

        static final Comparator<Entry> LEAST_SUSPECTED_FIRST =
                Comparator.comparing(Entry::isBlocked)
                        .thenComparingInt(entry -> entry.mLosses - entry.mCleared)
                        .thenComparingLong(entry -> entry.mLastLossMs)
                        .thenComparing(entry -> entry.mPart);

        private final String mPart;
        private int mLosses;
        private int mCleared;
        private boolean mAnswered;
        private long mRaisedMs;
        private List<LostRequest> mRequests = List.of();
        private long mLastLossMs;
        private long mTriedMs = Long.MIN_VALUE / 2;

        Entry(String part, long lastLossMs) {
            mPart = part;
            mLastLossMs = lastLossMs;
        }

        /** Merges evidence of the same part; returns whether it adds anything. */
        boolean grow(PartEvidence evidence, long nowMs) {
            int losses = Math.max(mLosses, evidence.losses());
            int cleared = Math.max(mCleared, evidence.cleared());
            List<LostRequest> requests = mergedRequests(evidence.requests(), cleared);
            boolean changed =
                    losses != mLosses
                            || cleared != mCleared
                            || (evidence.answered() && !mAnswered)
                            || !requests.equals(mRequests);
            if (losses > mLosses) {
                mRaisedMs = nowMs;
                mLastLossMs = Math.max(mLastLossMs, nowMs - evidence.ageMs());
            }
            mLosses = losses;
            mCleared = cleared;
            mAnswered |= evidence.answered();
            mRequests = requests;
            return changed;
        }

        private List<LostRequest> mergedRequests(List<LostRequest> others, int cleared) {
            Map<Long, LostRequest> merged = new HashMap<>();
            List<LostRequest> all = new ArrayList<>(mRequests);
            all.addAll(others);
            for (LostRequest each : all) {
                merged.merge(each.request(), each, (a, b) -> a.losses() >= b.losses() ? a : b);
            }
            return merged.values().stream()
                    .filter(each -> each.losses() > cleared)
                    .sorted(LATEST_FIRST)
                    .limit(MAX_KEPT_REQUESTS)
                    .toList();
        }

        boolean isBlocked() {
            boolean inSuccession =
                    mLosses - mCleared >= blockingLosses() && mRequests.size() >= MIN_REQUESTS;
            return inSuccession || (!mAnswered && endpoints() >= BLOCKING_ENDPOINTS);
        }

        private long endpoints() {
            return mRequests.stream()
                    .mapToLong(LostRequest::endpoint)
                    .filter(endpoint -> endpoint != 0)
                    .distinct()
                    .count();
        }

        /** Returns whether the part was in all of the given requests when they were lost. */
        boolean wasIn(List<LostRequest> requests) {
            return requests.stream()
                    .allMatch(
                            request ->
                                    mRequests.stream()
                                            .anyMatch(own -> own.request() == request.request()));
        }

        private int blockingLosses() {
            return mAnswered ? BLOCKING_LOSSES_ANSWERED : BLOCKING_LOSSES;
        }

        boolean isTrialDue(long nowMs) {
            int failedTrials = Math.max(0, mLosses - mCleared - blockingLosses());
            if (failedTrials >= TRIAL_DELAYS_MS.size()) {
                return false;
            }
            return nowMs - Math.max(mLastLossMs, mTriedMs) >= TRIAL_DELAYS_MS.get(failedTrials);
        }

        long ageMs(long nowMs) {
            return Math.max(0, nowMs - mLastLossMs);
        }

        boolean isExpired(long nowMs) {
            return nowMs - mLastLossMs
                    > (isBlocked() ? BLOCK_RETENTION_MS : SUSPICION_RETENTION_MS);
        }

        PartEvidence evidence(long nowMs) {
            return new PartEvidence(mPart, mLosses, mCleared, mAnswered, mRequests, ageMs(nowMs));
        }

        long hash() {
            long hash = RendezvousHashing.weight(mPart, mLosses + ":" + mCleared + ":" + mAnswered);
            for (LostRequest each : mRequests) {
                hash += RendezvousHashing.weight(each.request() + each.endpoint(), each.losses());
            }
            return hash;
        }
    }
}
