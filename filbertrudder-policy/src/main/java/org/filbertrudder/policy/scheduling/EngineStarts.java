package org.filbertrudder.policy.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.policy.routing.PromptDemand;

/** Holds the engines of a scheduler and the starts there that have not ended. */
final class EngineStarts {

    /**
     * The time for which a start is kept that a full report does not list, in ms. A report that is
     * up to 2 s old was made before the decision arrived.
     */
    static final long UNREPORTED_MS = 2_500;

    /** The weight that earlier starts keep in the mean time for which a start holds a slot. */
    private static final double RETAINED_WEIGHT = 0.98;

    /** The assumed time for which a start holds a slot until one has ended, in milliseconds. */
    private static final double INITIAL_HOLD_MS = 2_000;

    private final ServiceSpeed mSpeed = new ServiceSpeed();
    private final Map<EndpointId, ScheduledEngine> mEngines = new LinkedHashMap<>();
    private final Map<StartId, OpenEntry> mOpen = new HashMap<>();
    private final Consumer<OpenEntry> mOnUnused;
    private double mHoldMs = INITIAL_HOLD_MS;

    /**
     * Creates an object without engines.
     *
     * @param onUnused called for a start that was cancelled or rejected
     */
    EngineStarts(Consumer<OpenEntry> onUnused) {
        mOnUnused = onUnused;
    }

    /** Replaces the listed engines. */
    void setEngines(Collection<EngineDescription> engines) {
        Set<EndpointId> listed = new HashSet<>();
        for (EngineDescription engine : engines) {
            listed.add(engine.id());
            mEngines.computeIfAbsent(engine.id(), id -> new ScheduledEngine(id, mSpeed))
                    .list(engine);
        }
        for (ScheduledEngine engine : mEngines.values()) {
            if (!listed.contains(engine.id())) {
                engine.delist();
            }
        }
        mEngines.values().removeIf(engine -> !engine.isListed() && engine.openStarts() == 0);
    }

    /** Returns all engines, including those that are not usable. */
    Collection<ScheduledEngine> engines() {
        return mEngines.values();
    }

    /** Returns the engine with the id, or null if it is unknown. */
    ScheduledEngine engine(EndpointId id) {
        return mEngines.get(id);
    }

    /** Returns the open start with the id, or null if there is none. */
    OpenEntry get(StartId id) {
        return mOpen.get(id);
    }

    /** Returns the prompt speed of all usable engines together, in tokens per millisecond. */
    double tokensPerMs(long nowMs) {
        double tokensPerMs = 0;
        for (ScheduledEngine engine : mEngines.values()) {
            tokensPerMs += engine.isUsable() ? engine.room().tokensPerMs(nowMs) : 0;
        }
        return tokensPerMs;
    }

    /** Returns the starts per second that the slots of all usable engines allow. */
    double startsPerSecond() {
        int slots = 0;
        for (ScheduledEngine engine : mEngines.values()) {
            slots += engine.isUsable() ? engine.slots() : 0;
        }
        return slots * 1_000 / mHoldMs;
    }

    /** Adds a start. */
    void start(OpenEntry entry, PromptDemand prompt, long nowMs) {
        entry.engine().room().start(entry.id(), prompt, entry.deadlineMs(), nowMs);
        entry.engine().addOpenStarts(1);
        mOpen.put(entry.id(), entry);
    }

    /** Records the first event of a response. */
    void begun(StartId id, long nowMs) {
        OpenEntry entry = mOpen.get(id);
        if (entry != null && !entry.mBegun) {
            entry.mBegun = true;
            entry.engine().room().begun(id, nowMs);
        }
    }

    /** Records the end of a request. */
    void ended(StartId id, long events, long nowMs) {
        OpenEntry entry = remove(id);
        if (entry != null) {
            entry.engine().room().ended(id, events, nowMs);
            double heldMs = Math.max(1, nowMs - entry.mStartedMs);
            mHoldMs = RETAINED_WEIGHT * mHoldMs + (1 - RETAINED_WEIGHT) * heldMs;
        }
    }

    /** Records that an engine was full and has not run the request. */
    void rejected(StartId id, long nowMs) {
        OpenEntry entry = remove(id);
        if (entry != null) {
            entry.engine().room().rejected(id, nowMs);
            mOnUnused.accept(entry);
        }
    }

    /** Removes a start that was not used. */
    void cancel(StartId id, long nowMs) {
        OpenEntry entry = remove(id);
        if (entry != null) {
            entry.engine().room().ended(id, 0, nowMs);
            mOnUnused.accept(entry);
        }
    }

    /** Replaces the open starts of an instance, except those decided a short time ago. */
    void replaceOpen(InstanceId sender, List<OpenStart> open, long nowMs) {
        Set<StartId> reported = new HashSet<>();
        for (OpenStart start : open) {
            reported.add(start.id());
            OpenEntry known = mOpen.get(start.id());
            if (known != null && !known.engine().id().equals(start.endpoint())) {
                release(start.id(), nowMs);
                known = null;
            }
            if (known == null) {
                restore(start, nowMs);
            }
            if (start.begun()) {
                begun(start.id(), nowMs);
            }
        }
        for (OpenEntry entry : List.copyOf(mOpen.values())) {
            if (entry.id().sender().equals(sender)
                    && !reported.contains(entry.id())
                    && nowMs - entry.mStartedMs > UNREPORTED_MS) {
                release(entry.id(), nowMs);
            }
        }
    }

    private void restore(OpenStart start, long nowMs) {
        ScheduledEngine engine = mEngines.get(start.endpoint());
        if (engine != null) {
            long deadlineMs = nowMs + start.remainingMs();
            start(new OpenEntry(start.id(), engine, deadlineMs, nowMs), start.prompt(), nowMs);
        }
    }

    /** Removes the open starts of an instance. */
    void dropSender(InstanceId sender, long nowMs) {
        for (OpenEntry entry : List.copyOf(mOpen.values())) {
            if (entry.id().sender().equals(sender)) {
                release(entry.id(), nowMs);
            }
        }
    }

    /** Removes the starts that have not begun by their deadline. */
    void expire(long nowMs) {
        List<StartId> expired = new ArrayList<>();
        for (OpenEntry entry : mOpen.values()) {
            if (!entry.mBegun && entry.deadlineMs() <= nowMs) {
                expired.add(entry.id());
            }
        }
        expired.forEach(id -> release(id, nowMs));
    }

    private void release(StartId id, long nowMs) {
        OpenEntry entry = remove(id);
        if (entry != null) {
            entry.engine().room().ended(id, 0, nowMs);
        }
    }

    private OpenEntry remove(StartId id) {
        OpenEntry entry = mOpen.remove(id);
        if (entry != null) {
            entry.engine().addOpenStarts(-1);
        }
        return entry;
    }

    /** Represents a start that has not ended. */
    static final class OpenEntry {

        private final StartId mId;
        private final ScheduledEngine mEngine;
        private final long mDeadlineMs;
        private final long mStartedMs;
        private boolean mBegun;
        private WaitingStart mWaiting;
        private StartDecision.Start mDecision;
        private double mChargeMs;

        /** Creates an entry for a start that another scheduler has decided. */
        OpenEntry(StartId id, ScheduledEngine engine, long deadlineMs, long startedMs) {
            mId = id;
            mEngine = engine;
            mDeadlineMs = deadlineMs;
            mStartedMs = startedMs;
        }

        /** Creates an entry for a start that was decided here and charged to its account. */
        OpenEntry(
                WaitingStart waiting,
                ScheduledEngine engine,
                StartDecision.Start decision,
                double chargeMs,
                long startedMs) {
            this(waiting.id(), engine, waiting.deadlineMs(), startedMs);
            mWaiting = waiting;
            mDecision = decision;
            mChargeMs = chargeMs;
        }

        StartId id() {
            return mId;
        }

        ScheduledEngine engine() {
            return mEngine;
        }

        long deadlineMs() {
            return mDeadlineMs;
        }

        /** Returns the request that was started here, or null if another scheduler started it. */
        WaitingStart waiting() {
            return mWaiting;
        }

        /** Returns the decision if it can be sent again to a sender that has not received it. */
        Optional<StartDecision.Start> repeatable(StartRequest request) {
            boolean usable = mEngine.isUsable() && !request.excluded().contains(mEngine.id());
            return mBegun || !usable ? Optional.empty() : Optional.ofNullable(mDecision);
        }

        double chargeMs() {
            return mChargeMs;
        }
    }
}
