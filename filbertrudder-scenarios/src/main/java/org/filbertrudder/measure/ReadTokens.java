package org.filbertrudder.measure;

import java.util.HashMap;
import java.util.Map;

/** Counts the prompt tokens that the engines of a fleet read and find in their caches. */
final class ReadTokens {

    private final Map<String, Long> mReadByPart = new HashMap<>();
    private final Map<String, Long> mLengthByPart = new HashMap<>();
    private long mOwnTokens;
    private long mFoundTokens;

    void addShared(String part, long partLength, long tokens) {
        mLengthByPart.put(part, partLength);
        mReadByPart.merge(part, tokens, Long::sum);
    }

    void addOwn(long tokens) {
        mOwnTokens += tokens;
    }

    void addFound(long tokens) {
        mFoundTokens += tokens;
    }

    /** Returns the tokens of shared parts that were read after each part had been read once. */
    long redundantTokens() {
        return mReadByPart.entrySet().stream()
                .mapToLong(read -> Math.max(0, read.getValue() - mLengthByPart.get(read.getKey())))
                .sum();
    }

    /** Returns all tokens that were read. */
    long allTokens() {
        return mOwnTokens + sharedTokens();
    }

    /** Returns the share of the tokens of shared parts that did not have to be read. */
    double foundShare() {
        return (double) mFoundTokens / Math.max(1, mFoundTokens + sharedTokens());
    }

    private long sharedTokens() {
        return mReadByPart.values().stream().mapToLong(Long::longValue).sum();
    }
}
