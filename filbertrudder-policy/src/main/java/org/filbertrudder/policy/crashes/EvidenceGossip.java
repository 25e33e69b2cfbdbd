package org.filbertrudder.policy.crashes;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.PartEvidence;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.GossipPartners;

/**
 * Spreads the evidence about parts of prompts among all instances.
 *
 * <p>New evidence goes to a few other instances, chosen by rendezvous hashing, which send on what
 * is new to them. As evidence only grows, and by a bounded amount for each loss, this comes to an
 * end whatever the order, loss or repetition of messages. In addition each instance compares
 * digests with one of them at intervals, and the two exchange all evidence if it differs. That
 * repairs what was lost and informs instances that have just started or were cut off.
 */
public final class EvidenceGossip {

    /** The interval at which digests are compared, in milliseconds. */
    public static final long EXCHANGE_INTERVAL_MS = 1_000;

    private final CrashingParts mParts;
    private final GossipPartners mPartners;
    private final Map<String, PartEvidence> mChanged = new LinkedHashMap<>();
    private long mNextExchangeMs = Long.MIN_VALUE;

    /** Creates the gossip about the given evidence. */
    public EvidenceGossip(InstanceId self, CrashingParts parts) {
        mPartners = new GossipPartners(self);
        mParts = parts;
    }

    /**
     * A message to another instance.
     *
     * @param to the receiver
     * @param message the message
     */
    public record Send(InstanceId to, PeerMessage message) {}

    /** Adds changed evidence, which is sent with the next tick. */
    public void addChanged(Collection<PartEvidence> changed) {
        changed.forEach(evidence -> mChanged.put(evidence.part(), evidence));
    }

    /**
     * Returns the messages that are due.
     *
     * @param others the other running instances
     */
    public List<Send> tick(Set<InstanceId> others, long nowMs) {
        List<Send> sends = new ArrayList<>();
        if (others.isEmpty()) {
            return sends;
        }
        if (!mChanged.isEmpty()) {
            PeerMessage report =
                    new PeerMessage.PartEvidenceReport(List.copyOf(mChanged.values()), false);
            mChanged.clear();
            mPartners.among(others).forEach(to -> sends.add(new Send(to, report)));
        }
        if (nowMs >= mNextExchangeMs) {
            mNextExchangeMs = nowMs + EXCHANGE_INTERVAL_MS;
            InstanceId partner = mPartners.nextAmong(others);
            sends.add(new Send(partner, new PeerMessage.PartEvidenceDigest(mParts.digest())));
        }
        return sends;
    }

    /** Handles a digest of another instance and returns the answer to it, if any. */
    public Optional<PeerMessage> handle(PeerMessage.PartEvidenceDigest message, long nowMs) {
        return message.digest() == mParts.digest()
                ? Optional.empty()
                : Optional.of(new PeerMessage.PartEvidenceReport(mParts.evidence(nowMs), true));
    }

    /**
     * Merges the evidence of another instance and returns the answer to it, if any; what has
     * changed is sent on with the next tick if there are more instances than the sender could reach
     * itself, or if this instance has added to it.
     *
     * @param others the number of other running instances
     */
    public Optional<PeerMessage> handle(
            PeerMessage.PartEvidenceReport message, int others, long nowMs) {
        boolean sendsOn = others > GossipPartners.MAX_PARTNERS;
        List<PartEvidence> changed = new ArrayList<>();
        for (PartEvidence evidence : message.evidence()) {
            mParts.merge(evidence, nowMs)
                    .filter(merged -> sendsOn || merged.answered() != evidence.answered())
                    .ifPresent(changed::add);
        }
        addChanged(changed);
        return message.answer()
                ? Optional.of(new PeerMessage.PartEvidenceReport(mParts.evidence(nowMs), false))
                : Optional.empty();
    }
}
