package org.filbertrudder.scenarios;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Holds the state that the step definitions of one scenario share. */
public class ScenarioContext {

    /** The time in milliseconds that a step waits for a request to start. */
    static final long REQUEST_START_TIMEOUT_MS = 10_000;

    /** The number of tokens that a stream must have produced before the next step. */
    static final int TOKENS_BEFORE_NEXT_STEP = 10;

    private final List<CompletableFuture<Reply>> mPendingReplies = new ArrayList<>();
    private final Map<String, Fleet.IssuedApiKey> mIssuedKeys = new HashMap<>();
    private Fleet mFleet;
    private Reply mLastReply;
    private Reply mConcurrentReply;

    Fleet fleet() {
        return mFleet;
    }

    void setFleet(Fleet fleet) {
        mFleet = fleet;
    }

    Map<String, Fleet.IssuedApiKey> issuedKeys() {
        return mIssuedKeys;
    }

    String apiKey(String name) {
        return mIssuedKeys.get(name).apiKey();
    }

    List<CompletableFuture<Reply>> pendingReplies() {
        return mPendingReplies;
    }

    Reply lastReply() {
        return mLastReply;
    }

    void setLastReply(Reply reply) {
        mLastReply = reply;
    }

    Reply concurrentReply() {
        return mConcurrentReply;
    }

    void setConcurrentReply(Reply reply) {
        mConcurrentReply = reply;
    }
}
