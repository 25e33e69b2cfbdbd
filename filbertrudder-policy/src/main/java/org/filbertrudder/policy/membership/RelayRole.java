package org.filbertrudder.policy.membership;

import java.util.List;
import java.util.Optional;
import org.filbertrudder.model.message.Member;

/** Tells which few instances of this one's failure domain ask the store for all the others. */
public final class RelayRole {

    private static final int RELAYS_PER_FAILURE_DOMAIN = 2;

    private final Membership mMembership;
    private final int mRelaysPerDomain;
    private long mVersion = -1;
    private List<Member> mRelays = List.of();

    /** Creates the role of the instance that the membership belongs to. */
    public RelayRole(Membership membership) {
        this(membership, RELAYS_PER_FAILURE_DOMAIN);
    }

    /** Creates the role with a number of relays in each failure domain. */
    public RelayRole(Membership membership, int relaysPerDomain) {
        mMembership = membership;
        mRelaysPerDomain = relaysPerDomain;
    }

    /** Returns whether this instance is a relay. */
    public boolean held() {
        return relays().stream().anyMatch(member -> member.id().equals(mMembership.self().id()));
    }

    /** Returns the first relay other than this instance; empty if there is none. */
    public Optional<Member> other() {
        return relays().stream()
                .filter(member -> !member.id().equals(mMembership.self().id()))
                .findFirst();
    }

    /** Returns the relays; works them out anew only when members change. */
    private List<Member> relays() {
        if (mVersion != mMembership.version()) {
            mVersion = mMembership.version();
            mRelays = chooseRelays();
        }
        return mRelays;
    }

    private List<Member> chooseRelays() {
        Member self = mMembership.self();
        List<Member> candidates =
                mMembership.workingIn(self.region()).stream()
                        .filter(member -> member.failureDomain().equals(self.failureDomain()))
                        .toList();
        return StrengthRank.first(self.failureDomain().value(), candidates, mRelaysPerDomain);
    }
}
