package org.filbertrudder.gateway.traffic;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.control.BlockedPartStore;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewaySnapshot;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PartEvidence;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.policy.RendezvousHashing;
import org.filbertrudder.policy.crashes.CrashingParts;
import org.filbertrudder.policy.crashes.EvidenceGossip;
import org.filbertrudder.policy.crashes.SentParts;
import org.filbertrudder.policy.membership.OutboundMessage;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.policy.routing.PromptDemand;

/**
 * Decides whether a request may be sent whose prompt has a part that crashes endpoints, learns from
 * lost requests and answers, and shares what it knows with the other instances and the store.
 *
 * <p>Runs on the traffic thread, so that a request that is sent again after a crash already counts
 * as sent after it.
 */
final class CrashingPartService {

    private static final ComponentLogger LOG = ComponentLogger.of("crashes");
    private static final String OPERATOR = "operator";

    private final Supplier<GatewaySnapshot> mSnapshot;
    private final PeerNetwork mNetwork;
    private final GatewayMetrics mMetrics;
    private final BlockedPartStore mStore;
    private final Runnable mOnBlocked;
    private final CrashingParts mParts = new CrashingParts();
    private final EvidenceGossip mGossip;
    private List<Member> mMembers = List.of();
    private Map<InstanceId, Member> mOthers = Map.of();
    private Set<String> mBlocked = Set.of();
    private volatile List<PartEvidence> mBlockedEvidence = List.of();

    /**
     * Creates the service.
     *
     * @param onBlocked runs when further parts have become blocked
     */
    CrashingPartService(
            Supplier<GatewaySnapshot> snapshot,
            PeerNetwork network,
            GatewayMetrics metrics,
            BlockedPartStore store,
            Runnable onBlocked) {
        mSnapshot = snapshot;
        mNetwork = network;
        mMetrics = metrics;
        mStore = store;
        mOnBlocked = onBlocked;
        mGossip = new EvidenceGossip(snapshot.get().self().id(), mParts);
        metrics.gauge("blocked_parts", mParts::blockedCount);
        metrics.gauge("suspected_parts", mParts::size);
    }

    /** Merges the blocked parts that an earlier life of the instances has stored. */
    void addStored(Collection<PartEvidence> stored) {
        long nowMs = Clocks.steadyMs();
        stored.forEach(evidence -> mParts.merge(evidence, nowMs));
        noteChanges("store");
    }

    /** Returns the blocked parts; may be called from any thread. */
    List<PartEvidence> blocked() {
        return mBlockedEvidence;
    }

    /** Returns the blocked part of a request that must not be sent because of it, if any. */
    Optional<String> refusedPart(GatewayExchange exchange) {
        if (mParts.blockedCount() == 0) {
            return Optional.empty();
        }
        List<String> parts = sharedParts(exchange);
        return mParts.decide(parts, this::triesPart, Clocks.steadyMs())
                        == CrashingParts.Decision.BLOCKED
                ? mParts.refusedPart(parts)
                : Optional.empty();
    }

    private static List<String> sharedParts(GatewayExchange exchange) {
        return exchange.head().promptDemand().map(PromptDemand::sharedPartIds).orElse(List.of());
    }

    /** Returns whether this instance is the one that tries a blocked part again. */
    private boolean triesPart(String part) {
        return isFirst(part, mSnapshot.get(), Member::acceptsNewRequests);
    }

    /** Records that a request is sent to an endpoint, and returns what to record its outcome by. */
    SentParts recordSend(GatewayExchange exchange) {
        List<String> parts = sharedParts(exchange);
        SentParts sent = mParts.sent(parts, Clocks.steadyMs());
        mParts.refusedPart(parts)
                .ifPresent(
                        part -> {
                            mMetrics.counter("blocked_part_trials").inc();
                            exchange.trace("trial=" + part);
                            mParts.recordTrial(parts, Clocks.steadyMs());
                        });
        return sent;
    }

    /** Records that the connection of a request was lost before its answer began. */
    void recordLoss(InterruptedRequest request) {
        mMetrics.counter("requests_lost_before_answer").inc();
        mGossip.addChanged(
                mParts.recordLoss(
                        request.sentParts(),
                        RendezvousHashing.hash(
                                request.digest().account() + request.digest().bodySha256()),
                        RendezvousHashing.hash(request.endpoint().value()),
                        Clocks.steadyMs()));
        noteChanges(request.requestId());
    }

    /** Records that the answer to a request has begun. */
    void recordAnswer(SentParts sent, String requestId) {
        List<PartEvidence> changed = mParts.recordAnswer(sent, Clocks.steadyMs());
        if (!changed.isEmpty()) {
            mGossip.addChanged(changed);
            noteChanges(requestId);
        }
    }

    /** Allows a part again on behalf of an operator; returns whether it was blocked. */
    boolean allow(String part) {
        boolean blocked = mParts.isBlocked(part);
        mParts.allow(part, Clocks.steadyMs())
                .ifPresent(evidence -> mGossip.addChanged(List.of(evidence)));
        noteChanges(OPERATOR);
        return blocked;
    }

    /** Sends what is due to the other instances. */
    void tick(long nowMs) {
        Map<InstanceId, Member> others = others();
        List<OutboundMessage> messages = new ArrayList<>();
        for (EvidenceGossip.Send send : mGossip.tick(others.keySet(), nowMs)) {
            PeerAddress to = PeerAddress.ofForwards(others.get(send.to()));
            messages.add(new OutboundMessage(to, send.message()));
        }
        mNetwork.sendAll(messages);
    }

    /** Drops old evidence, and writes blocked parts to the store that it does not have yet. */
    void maintain(long nowMs) {
        if (mParts.size() > 0) {
            mParts.expire(nowMs);
            noteChanges("expiry");
            storeBlocked();
        }
    }

    private void storeBlocked() {
        GatewaySnapshot snapshot = mSnapshot.get();
        mStore.retain(
                mBlockedEvidence.stream()
                        .filter(evidence -> storesPart(evidence.part(), snapshot))
                        .toList());
    }

    /** Returns whether this instance writes a blocked part to the store. */
    private boolean storesPart(String part, GatewaySnapshot snapshot) {
        return isFirst(part, snapshot, Member::canHoldDuties);
    }

    private static boolean isFirst(
            String part, GatewaySnapshot snapshot, Predicate<Member> candidate) {
        return RendezvousHashing.first(
                        part,
                        snapshot.members().stream().filter(candidate).toList(),
                        member -> member.id().value())
                .map(member -> member.id().equals(snapshot.self().id()))
                .orElse(false);
    }

    /** Returns the other instances that are not known to be dead, by id. */
    private Map<InstanceId, Member> others() {
        GatewaySnapshot snapshot = mSnapshot.get();
        if (snapshot.members() != mMembers) {
            mMembers = snapshot.members();
            mOthers =
                    mMembers.stream()
                            .filter(member -> member.state() != MemberState.DEAD)
                            .filter(member -> !member.id().equals(snapshot.self().id()))
                            .collect(Collectors.toMap(Member::id, Function.identity()));
        }
        return mOthers;
    }

    /** Handles a message about crashing parts; returns false for other messages. */
    boolean handle(Member from, PeerMessage message) {
        long nowMs = Clocks.steadyMs();
        Optional<PeerMessage> answer;
        if (message instanceof PeerMessage.PartEvidenceDigest digest) {
            answer = mGossip.handle(digest, nowMs);
        } else if (message instanceof PeerMessage.PartEvidenceReport report) {
            mMetrics.counter("part_evidence_received").inc(report.evidence().size());
            answer = mGossip.handle(report, others().size(), nowMs);
            noteChanges(from.id().value());
        } else {
            return false;
        }
        answer.ifPresent(reply -> mNetwork.send(PeerAddress.ofForwards(from), reply));
        return true;
    }

    /** Logs the parts that are blocked or allowed since the last call, and reports the former. */
    private void noteChanges(String source) {
        long nowMs = Clocks.steadyMs();
        List<PartEvidence> blocked = mParts.blocked(nowMs);
        mBlockedEvidence = blocked;
        Set<String> current = blocked.stream().map(PartEvidence::part).collect(Collectors.toSet());
        if (current.equals(mBlocked)) {
            return;
        }
        Set<String> added = new HashSet<>(current);
        added.removeAll(mBlocked);
        Set<String> removed = new HashSet<>(mBlocked);
        removed.removeAll(current);
        mBlocked = current;
        blocked.stream()
                .filter(evidence -> added.contains(evidence.part()))
                .forEach(evidence -> logBlocked(evidence, source));
        for (String part : removed) {
            LOG.info(
                    "A prompt part is allowed again.",
                    LogField.of("part", part),
                    LogField.of("from", source));
            mStore.remove(part, storesPart(part, mSnapshot.get()));
        }
        if (!added.isEmpty()) {
            storeBlocked();
            mOnBlocked.run();
        }
    }

    private static void logBlocked(PartEvidence evidence, String source) {
        LOG.warn(
                "A prompt part crashes endpoints and is blocked.",
                LogField.of("part", evidence.part()),
                LogField.of("losses", evidence.losses()),
                LogField.of("cleared", evidence.cleared()),
                LogField.of("answered", evidence.answered()),
                LogField.of("requests", evidence.requests().size()),
                LogField.of("ageMs", evidence.ageMs()),
                LogField.of("from", source));
    }
}
