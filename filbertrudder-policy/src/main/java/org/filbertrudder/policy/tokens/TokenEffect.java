package org.filbertrudder.policy.tokens;

import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.PeerMessage;

/** Represents something that the caller of the token decisions must do. */
public sealed interface TokenEffect {

    /**
     * Sends a reply to the instance that asked.
     *
     * @param to the request that is answered
     * @param reply the answer
     */
    record Reply(Asker to, PeerMessage.ReserveReply reply) implements TokenEffect {}

    /**
     * Asks the holder in another region for a loan.
     *
     * @param region the region of the lender
     * @param request the request
     */
    record AskLoan(RegionId region, PeerMessage.LoanRequest request) implements TokenEffect {}

    /**
     * Asks another instance for a loan.
     *
     * @param lender the instance
     * @param request the request
     */
    record AskInstance(InstanceId lender, PeerMessage.LoanRequest request) implements TokenEffect {}
}
