package org.filbertrudder.policy;

import java.util.List;
import java.util.Set;
import org.filbertrudder.model.InstanceId;

/**
 * Chooses the instances that one instance gossips with. They stay the same while the instances do,
 * so that the number of connections does not grow with the number of instances.
 */
public final class GossipPartners {

    /** The maximum number of instances that one sends to by itself. */
    public static final int MAX_PARTNERS = 8;

    private final InstanceId mSelf;
    private Set<InstanceId> mOthers = Set.of();
    private List<InstanceId> mPartners = List.of();
    private int mNext;

    /** Creates the partners of an instance. */
    public GossipPartners(InstanceId self) {
        mSelf = self;
    }

    /** Returns the partners among the other running instances. */
    public List<InstanceId> among(Set<InstanceId> others) {
        if (!others.equals(mOthers)) {
            mPartners =
                    RendezvousHashing.rank(mSelf.value(), others, InstanceId::value).stream()
                            .limit(MAX_PARTNERS)
                            .toList();
        }
        mOthers = others;
        return mPartners;
    }

    /** Returns the partners in turn; there must be another instance. */
    public InstanceId nextAmong(Set<InstanceId> others) {
        List<InstanceId> partners = among(others);
        mNext = (mNext + 1) % partners.size();
        return partners.get(mNext);
    }

    /** Returns the number of other instances at the last call. */
    public int others() {
        return mOthers.size();
    }
}
