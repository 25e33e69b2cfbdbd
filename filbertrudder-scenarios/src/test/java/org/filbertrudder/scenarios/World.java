package org.filbertrudder.scenarios;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Holds what the steps of one scenario share. */
public class World {

    /** How long a step waits for a request to start, in milliseconds. */
    static final long START_TIMEOUT_MS = 10_000;

    /** How many tokens of a stream are written before the next step. */
    static final int TOKENS_BEFORE_NEXT_STEP = 10;

    private final List<CompletableFuture<Reply>> mRunning = new ArrayList<>();
    private final Map<String, Fleet.IssuedKey> mKeys = new HashMap<>();
    private Fleet mFleet;
    private Reply mReply;
    private Reply mOtherReply;

    Fleet fleet() {
        return mFleet;
    }

    void setFleet(Fleet fleet) {
        mFleet = fleet;
    }

    Map<String, Fleet.IssuedKey> keys() {
        return mKeys;
    }

    String key(String name) {
        return mKeys.get(name).text();
    }

    List<CompletableFuture<Reply>> running() {
        return mRunning;
    }

    Reply reply() {
        return mReply;
    }

    void setReply(Reply reply) {
        mReply = reply;
    }

    Reply otherReply() {
        return mOtherReply;
    }

    void setOtherReply(Reply reply) {
        mOtherReply = reply;
    }
}
