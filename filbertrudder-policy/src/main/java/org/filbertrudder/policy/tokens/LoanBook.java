package org.filbertrudder.policy.tokens;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.message.PeerMessage;

/** Tracks the loans that one holder has asked for and not got yet. */
final class LoanBook {

    private final TokenSettings mSettings;
    private final Map<Long, PendingLoan> mPending = new HashMap<>();
    private long mNextId = 1;

    LoanBook(TokenSettings settings) {
        mSettings = settings;
    }

    /** Returns whether the account waits for an answer. */
    boolean isPending(AccountId account) {
        return mPending.values().stream().anyMatch(loan -> loan.account().equals(account));
    }

    /**
     * Divides what a share lacks among lenders.
     *
     * @param newTokens tokens that are needed on top of what waits already
     * @return one request for each lender; none if the account waits for an answer already
     */
    List<PeerMessage.LoanRequest> ask(
            AccountId account, AccountShare share, long newTokens, int lenders, long nowMs) {
        if (lenders == 0 || isPending(account)) {
            return List.of();
        }
        LoanNeed need = share.askLoan(nowMs);
        double tokens = need.tokens() + newTokens;
        List<PeerMessage.LoanRequest> requests = new ArrayList<>();
        for (int i = 0; i < lenders; i++) {
            long id = mNextId++;
            mPending.put(id, new PendingLoan(account, nowMs));
            requests.add(
                    new PeerMessage.LoanRequest(
                            id,
                            account,
                            need.ratePerSecond() / lenders,
                            Math.ceil(tokens / lenders)));
        }
        return requests;
    }

    /**
     * Adds a loan to the share; one that was not asked for, is doubled or comes too late is
     * ignored.
     *
     * @return whether the loan was asked for
     */
    boolean granted(PeerMessage.LoanGrant grant, AccountShare share, long nowMs) {
        PendingLoan pending = mPending.remove(grant.id());
        if (pending == null || share == null || !pending.account().equals(grant.account())) {
            return false;
        }
        share.borrow(new LoanNeed(grant.ratePerSecond(), grant.tokens()), pending.askedMs(), nowMs);
        if (!isPending(grant.account())) {
            share.loansAnswered(nowMs);
        }
        return true;
    }

    /** Forgets the lenders that have not answered in time. */
    void expire(long nowMs) {
        mPending.values().removeIf(loan -> nowMs - loan.askedMs() > mSettings.loanReplyTimeoutMs());
    }

    /** Lends what a share can spare; a holder without the share lends nothing. */
    PeerMessage.LoanGrant lend(PeerMessage.LoanRequest request, AccountShare share, long nowMs) {
        LoanNeed lent =
                share == null
                        ? new LoanNeed(0, 0)
                        : share.lend(
                                new LoanNeed(request.ratePerSecond(), request.tokens()), nowMs);
        return new PeerMessage.LoanGrant(
                request.id(),
                request.account(),
                lent.ratePerSecond(),
                lent.tokens(),
                mSettings.loanTermMs());
    }

    private record PendingLoan(AccountId account, long askedMs) {}
}
