package org.filbertrudder.policy.tokens;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.message.PeerMessage;

/** Requests loans for a holder, matches the grants to the requests, and lends to other holders. */
final class LoanTracker {

    private final TokenSettings mSettings;
    private final Map<Long, PendingLoan> mPending = new HashMap<>();
    private long mNextId = 1;

    LoanTracker(TokenSettings settings) {
        mSettings = settings;
    }

    /** Returns whether a loan request of the account has no reply yet. */
    boolean isPending(AccountId account) {
        return mPending.values().stream().anyMatch(loan -> loan.account().equals(account));
    }

    /**
     * Divides the loan that a share needs equally among lenders.
     *
     * @param newTokens tokens that are needed in addition to those of the queued requests
     * @return one request for each lender; empty if there is no lender or a reply is still pending
     */
    List<PeerMessage.LoanRequest> requestFromLenders(
            AccountId account, AccountShare share, long newTokens, int lenders, long nowMs) {
        if (lenders == 0 || isPending(account)) {
            return List.of();
        }
        LoanAmount needed = share.requestLoan(nowMs);
        double tokens = needed.tokens() + newTokens;
        List<PeerMessage.LoanRequest> requests = new ArrayList<>();
        for (int i = 0; i < lenders; i++) {
            long id = mNextId++;
            mPending.put(id, new PendingLoan(account, nowMs));
            requests.add(
                    new PeerMessage.LoanRequest(
                            id,
                            account,
                            needed.ratePerSecond() / lenders,
                            Math.ceil(tokens / lenders)));
        }
        return requests;
    }

    /**
     * Adds a granted loan to the share; ignores grants that were not requested, are duplicates or
     * arrive too late.
     *
     * @return whether the grant matches a pending request
     */
    boolean addGranted(PeerMessage.LoanGrant grant, AccountShare share, long nowMs) {
        PendingLoan pending = mPending.remove(grant.id());
        if (pending == null || share == null || !pending.account().equals(grant.account())) {
            return false;
        }
        share.borrow(
                new LoanAmount(grant.ratePerSecond(), grant.tokens()),
                pending.requestedMs(),
                nowMs);
        if (!isPending(grant.account())) {
            share.endLoanWait(nowMs);
        }
        return true;
    }

    /** Removes the pending requests whose lenders have not replied in time. */
    void expirePending(long nowMs) {
        mPending.values()
                .removeIf(loan -> nowMs - loan.requestedMs() > mSettings.loanReplyTimeoutMs());
    }

    /** Lends what a share can spare; lends nothing if the share is null. */
    PeerMessage.LoanGrant lend(PeerMessage.LoanRequest request, AccountShare share, long nowMs) {
        LoanAmount lent =
                share == null
                        ? new LoanAmount(0, 0)
                        : share.lend(
                                new LoanAmount(request.ratePerSecond(), request.tokens()), nowMs);
        return new PeerMessage.LoanGrant(
                request.id(),
                request.account(),
                lent.ratePerSecond(),
                lent.tokens(),
                mSettings.loanTermMs());
    }

    private record PendingLoan(AccountId account, long requestedMs) {}
}
