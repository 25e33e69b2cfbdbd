package org.filbertrudder.policy.membership;

import java.util.List;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.policy.Rendezvous;

/** Tells whether this instance is one of the few in its failure domain that watch the store. */
public final class RelayRole {

    private static final int RELAYS_PER_FAILURE_DOMAIN = 2;

    private final Membership mMembership;
    private long mVersion = -1;
    private boolean mRelay;

    /** Creates the role of the instance that the membership belongs to. */
    public RelayRole(Membership membership) {
        mMembership = membership;
    }

    /** Returns whether this instance is a relay; works it out anew only when members change. */
    public boolean held() {
        if (mVersion != mMembership.version()) {
            mVersion = mMembership.version();
            mRelay = ranksAmongRelays();
        }
        return mRelay;
    }

    private boolean ranksAmongRelays() {
        Member self = mMembership.self();
        List<Member> candidates =
                mMembership.workingIn(self.region()).stream()
                        .filter(member -> member.failureDomain().equals(self.failureDomain()))
                        .toList();
        return Rendezvous.rank(self.failureDomain().value(), candidates, m -> m.id().value())
                .stream()
                .limit(RELAYS_PER_FAILURE_DOMAIN)
                .anyMatch(member -> member.id().equals(self.id()));
    }
}
