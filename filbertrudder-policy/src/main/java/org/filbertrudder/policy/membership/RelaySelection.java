package org.filbertrudder.policy.membership;

import java.util.List;
import java.util.Optional;
import org.filbertrudder.model.message.Member;

/**
 * Selects the relays of this instance's failure domain.
 *
 * <p>Relays query the store on behalf of all other instances of the failure domain.
 */
public final class RelaySelection {

    private static final int RELAYS_PER_FAILURE_DOMAIN = 2;

    private final Membership mMembership;
    private final int mRelaysPerDomain;
    private long mMembershipVersion = -1;
    private List<Member> mRelays = List.of();

    /** Creates the selection for the instance that the membership belongs to. */
    public RelaySelection(Membership membership) {
        this(membership, RELAYS_PER_FAILURE_DOMAIN);
    }

    /** Creates the selection with the given number of relays in each failure domain. */
    public RelaySelection(Membership membership, int relaysPerDomain) {
        mMembership = membership;
        mRelaysPerDomain = relaysPerDomain;
    }

    /** Returns whether this instance is a relay. */
    public boolean isRelay() {
        return relays().stream().anyMatch(member -> member.id().equals(mMembership.self().id()));
    }

    /** Returns the first relay other than this instance; empty if there is none. */
    public Optional<Member> otherRelay() {
        return relays().stream()
                .filter(member -> !member.id().equals(mMembership.self().id()))
                .findFirst();
    }

    /** Returns the relays; computed again only after the members have changed. */
    private List<Member> relays() {
        if (mMembershipVersion != mMembership.version()) {
            mMembershipVersion = mMembership.version();
            mRelays = chooseRelays();
        }
        return mRelays;
    }

    private List<Member> chooseRelays() {
        Member self = mMembership.self();
        List<Member> candidates =
                mMembership.membersAcceptingWorkIn(self.region()).stream()
                        .filter(member -> member.failureDomain().equals(self.failureDomain()))
                        .toList();
        return StrengthRank.first(self.failureDomain().value(), candidates, mRelaysPerDomain);
    }
}
