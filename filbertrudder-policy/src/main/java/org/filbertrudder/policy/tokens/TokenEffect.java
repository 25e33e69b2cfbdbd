package org.filbertrudder.policy.tokens;

import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.PeerMessage;

/** Message that the caller of a token decision must send. */
public sealed interface TokenEffect {

    /**
     * Sends a reply to the instance that requested the tokens.
     *
     * @param requestKey the request that the reply belongs to
     * @param reply the reply
     */
    record Reply(TokenRequestKey requestKey, PeerMessage.ReserveReply reply)
            implements TokenEffect {}

    /**
     * Requests a loan from the holder of the account's shard in another region.
     *
     * @param region the region of the lender
     * @param request the loan request
     */
    record RequestLoanFromRegion(RegionId region, PeerMessage.LoanRequest request)
            implements TokenEffect {}

    /**
     * Requests a loan from another instance that holds a share of the account.
     *
     * @param lender the lending instance
     * @param request the loan request
     */
    record RequestLoanFromInstance(InstanceId lender, PeerMessage.LoanRequest request)
            implements TokenEffect {}
}
