package org.filbertrudder.policy.scheduling;

import org.filbertrudder.model.EndpointId;
import org.filbertrudder.policy.RendezvousHashing;

/** Holds an engine of a scheduler with the number of its open starts. */
final class ScheduledEngine {

    private final EndpointId mId;
    private final EngineRoom mRoom;
    private final long mIdHash;
    private int mSlots;
    private boolean mUsable;
    private boolean mListed;
    private int mOpenStarts;

    ScheduledEngine(EndpointId id, ServiceSpeed speed) {
        mId = id;
        mRoom = new EngineRoom(id, speed);
        mIdHash = RendezvousHashing.hash(id.value());
    }

    /** Sets the capacity of an engine that is listed. */
    void list(EngineDescription engine) {
        mSlots = engine.slots();
        mUsable = engine.usable();
        mListed = true;
        mRoom.setCapacity(engine.slots(), engine.memoryTokens(), mUsable, engine.failing());
    }

    /** Records that the engine is no longer listed; its open starts remain until they end. */
    void delist() {
        mUsable = false;
        mListed = false;
        mRoom.setCapacity(0, 0, false, false);
    }

    EndpointId id() {
        return mId;
    }

    EngineRoom room() {
        return mRoom;
    }

    int slots() {
        return mSlots;
    }

    boolean isUsable() {
        return mUsable;
    }

    boolean isListed() {
        return mListed;
    }

    int openStarts() {
        return mOpenStarts;
    }

    void addOpenStarts(int difference) {
        mOpenStarts += difference;
    }

    /** Returns the hash weight of the engine for the affinity key with the hash. */
    long affinity(long keyHash) {
        return RendezvousHashing.weight(keyHash, mIdHash);
    }
}
