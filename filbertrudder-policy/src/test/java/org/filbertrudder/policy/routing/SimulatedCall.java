package org.filbertrudder.policy.routing;

import java.util.List;
import java.util.Optional;
import org.filbertrudder.model.AccountId;

/** Simulates a caller's request, including its second attempt after a refusal. */
final class SimulatedCall {

    private static final long MAX_GAP_MS = 4_000;
    private static final double[] ACCOUNT_SHARES = {0.35, 0.35, 0.1, 0.1, 0.1};

    private final GenerationFleetSimulation mFleet;
    private final GenerationKind mKind;
    private final AccountId mAccount;
    private final long mArrivedMs;
    private final long mDeadlineMs;
    private final int mOutputTokens;
    private final PromptDemand mPrompt;
    private SimulatedExchange mExchange;
    private boolean mReturned;
    private boolean mEnded;
    private boolean mServed;
    private boolean mLeft;
    private long mFirstEventMs = Long.MAX_VALUE;
    private long mLastEventMs;

    SimulatedCall(GenerationFleetSimulation fleet) {
        mFleet = fleet;
        mKind = GenerationKind.values()[fleet.drawIndex(GenerationKind.rates())];
        mAccount = AccountId.of("account-" + fleet.drawIndex(ACCOUNT_SHARES));
        mArrivedMs = fleet.nowMs();
        mDeadlineMs = mArrivedMs + mKind.mDeadlineMs;
        mOutputTokens =
                drawOutputTokens(fleet.logNormal(mKind.mMedianOutputTokens, mKind.mOutputSpread));
        mPrompt = drawPrompt();
        mLastEventMs = mArrivedMs;
    }

    private int drawOutputTokens(double tokens) {
        return (int) Math.max(1, Math.min(mKind.mMaxOutputTokens, tokens));
    }

    private PromptDemand drawPrompt() {
        int second = mFleet.random().nextInt(mKind.mSecondParts);
        String firstId = mKind + "-" + second % mKind.mFirstParts;
        long ownTokens = (long) mFleet.logNormal(mKind.mOwnTokens, 0.3);
        PromptPart first = new PromptPart(firstId, mKind.mFirstPartTokens);
        PromptPart shared = new PromptPart(firstId + "/" + second, mKind.mSecondPartTokens);
        PromptPart own = new PromptPart("own", ownTokens);
        return new PromptDemand(
                List.of(first, shared, own),
                first.tokens() + shared.tokens() + ownTokens,
                drawOutputTokens(mFleet.logNormal(mOutputTokens, 0.5)));
    }

    AccountId account() {
        return mAccount;
    }

    long deadlineMs() {
        return mDeadlineMs;
    }

    int outputTokens() {
        return mOutputTokens;
    }

    PromptDemand prompt() {
        return mPrompt;
    }

    GenerationKind kind() {
        return mKind;
    }

    /** Returns the measure by which the requests of a kind are compared. */
    long size() {
        return mPrompt.promptTokens() + 10L * mOutputTokens;
    }

    /** Returns whether the answer was complete before the deadline. */
    boolean served() {
        return mServed;
    }

    /** Returns whether the caller left after the first event, without the complete answer. */
    boolean leftDuringAnswer() {
        return mLeft && mFirstEventMs != Long.MAX_VALUE;
    }

    /** Returns whether the answer was complete and began within the latency goal. */
    boolean servedInTime() {
        return mServed && mFirstEventMs <= mArrivedMs + mKind.mGoalMs;
    }

    void start() {
        mFleet.schedule(mDeadlineMs, this::leave);
        if (mKind.mStream) {
            checkGap();
        }
        send();
    }

    private void send() {
        if (!mEnded) {
            mLastEventMs = mFleet.nowMs();
            mExchange =
                    new SimulatedExchange(mFleet, this, mFleet.drawInstance(), Optional.empty());
            mExchange.instance().submit(mExchange);
        }
    }

    private void checkGap() {
        if (mFleet.nowMs() - mLastEventMs >= MAX_GAP_MS) {
            leave();
        } else if (!mEnded) {
            mFleet.schedule(mLastEventMs + MAX_GAP_MS, this::checkGap);
        }
    }

    private void leave() {
        if (!mEnded) {
            mEnded = true;
            mLeft = true;
            mExchange.cancel();
        }
    }

    void onEvent(boolean last) {
        if (!mEnded) {
            mLastEventMs = mFleet.nowMs();
            mFirstEventMs = Math.min(mFirstEventMs, mLastEventMs);
            mServed = last;
            mEnded = last;
        }
    }

    void refused(long retryAfterMs) {
        long returnMs = mFleet.nowMs() + retryAfterMs;
        if (!mReturned && mDeadlineMs - returnMs >= mKind.mDeadlineMs / 3) {
            mReturned = true;
            mFleet.schedule(returnMs, this::send);
        } else {
            mEnded = true;
        }
    }
}
