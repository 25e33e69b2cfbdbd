package org.filbertrudder.policy.connections;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.random.RandomGenerator;
import org.filbertrudder.policy.VirtualSchedule;

/**
 * Simulates an instance and its callers: sound ones and hoarders that stop or drip, while the
 * process is held up and the limits change. What arrives lies in the sockets until it is read.
 */
final class SimulatedCallers {

    static final long TICK_MS = 100;
    static final long MAX_TICK_INTERVAL_MS = 200;

    /**
     * How long after its limit a connection may be open: the part of a hold-up that counts, and the
     * tick that finds the connection.
     */
    static final long SLACK_MS = MAX_TICK_INTERVAL_MS + TICK_MS;

    private static final long LAST_ARRIVAL_MS = 20_000;
    private static final long END_MS = 120_000;
    private static final long DEADLINE_MS = 6_000;
    private static final int HEAD_PARTS = 4;
    private static final long PART_BYTES = 2_048;

    private final VirtualSchedule mSchedule = new VirtualSchedule();
    private final ServingClock mClock = new ServingClock(MAX_TICK_INTERVAL_MS, 0);
    private final List<Connection> mConnections = new ArrayList<>();
    private final List<String> mFaults = new ArrayList<>();
    private final RandomGenerator mRandom;
    private final long mMinHeadTimeoutMs;
    private final long mMaxHeadTimeoutMs;
    private final long mMinIdleTimeoutMs;
    private final long mMaxIdleTimeoutMs;
    private ReadingLimits mLimits;
    private long mHeldUntilMs;
    private int mAnswered;
    private int mEnded;

    SimulatedCallers(RandomGenerator random) {
        mRandom = random;
        mMinHeadTimeoutMs = 500 + random.nextInt(2_500);
        mMaxHeadTimeoutMs = mMinHeadTimeoutMs + random.nextInt(3_000);
        mMinIdleTimeoutMs = 500 + random.nextInt(5_000);
        mMaxIdleTimeoutMs = mMinIdleTimeoutMs + random.nextInt(10_000);
        changeLimits();
        int count = 2 + random.nextInt(20);
        for (int i = 0; i < count; i++) {
            Connection connection = new Connection(CallerKind.values()[random.nextInt(6)]);
            mConnections.add(connection);
            mSchedule.add(random.nextLong(LAST_ARRIVAL_MS), connection::connect);
        }
        int changes = random.nextInt(6);
        for (int i = 0; i < changes; i++) {
            mSchedule.add(random.nextLong(LAST_ARRIVAL_MS), this::changeLimits);
        }
        int holds = random.nextInt(5);
        for (int i = 0; i < holds; i++) {
            mSchedule.add(random.nextLong(LAST_ARRIVAL_MS), () -> hold(random.nextLong(8_000)));
        }
        mSchedule.add(TICK_MS, this::tick);
    }

    /** Lists the callers by what they do on their connections. */
    private enum CallerKind {
        SOUND,
        SOUND_AND_KEPT,
        NOTHING,
        HALF_HEAD,
        DRIPPED_HEAD,
        HALF_BODY
    }

    /** Runs the schedule and returns what must not happen, empty if all is well. */
    List<String> run() {
        mSchedule.run(END_MS);
        mConnections.forEach(Connection::checkAtTheEnd);
        return mFaults;
    }

    int answered() {
        return mAnswered;
    }

    int ended() {
        return mEnded;
    }

    private long nowMs() {
        return mSchedule.nowMs();
    }

    private void changeLimits() {
        mLimits =
                new ReadingLimits(
                        mRandom.nextLong(mMinHeadTimeoutMs, mMaxHeadTimeoutMs + 1),
                        mRandom.nextLong(mMinIdleTimeoutMs, mMaxIdleTimeoutMs + 1));
    }

    private void hold(long durationMs) {
        mHeldUntilMs = Math.max(mHeldUntilMs, nowMs() + durationMs);
        mConnections.forEach(connection -> connection.mHeldMs += durationMs);
        // After a hold-up the sockets may be read before or after the late tick.
        mSchedule.add(mHeldUntilMs + mRandom.nextInt(2), this::readAll);
    }

    private boolean isHeldUp() {
        return nowMs() < mHeldUntilMs;
    }

    private void readAll() {
        if (!isHeldUp()) {
            mConnections.forEach(Connection::read);
        }
    }

    private void tick() {
        if (isHeldUp()) {
            mSchedule.add(mHeldUntilMs + mRandom.nextInt(2), this::tick);
            return;
        }
        mClock.tick(nowMs());
        mConnections.forEach(Connection::check);
        mSchedule.add(nowMs() + TICK_MS, this::tick);
    }

    /** Lists what arrives in parts. */
    private enum Part {
        FIRST_OF_HEAD,
        FURTHER_OF_HEAD,
        LAST_OF_HEAD,
        OF_BODY,
        LAST_OF_BODY
    }

    /** One connection: its caller, its socket, and the instance's view of it. */
    private final class Connection {

        private final CallerKind mKind;
        private final Queue<Part> mSocket = new ArrayDeque<>();
        private ConnectionProgress mProgress;
        private boolean mIsEnded;
        private boolean mIsSent;
        private int mWholeRequests;
        private int mAnswers;
        private long mStartedMs;
        private long mHeldMs;

        Connection(CallerKind kind) {
            mKind = kind;
        }

        boolean isSound() {
            return mKind == CallerKind.SOUND || mKind == CallerKind.SOUND_AND_KEPT;
        }

        void connect() {
            accept();
            mStartedMs = nowMs();
            mHeldMs = Math.max(0, mHeldUntilMs - nowMs());
            switch (mKind) {
                case NOTHING -> {}
                case HALF_HEAD -> arrive(Part.FIRST_OF_HEAD, 0);
                case DRIPPED_HEAD -> drip();
                case HALF_BODY -> {
                    arrive(Part.LAST_OF_HEAD, 0);
                    arrive(Part.OF_BODY, 10);
                }
                default -> sendRequest();
            }
        }

        /** The system accepts in a hold-up; the process learns of it afterwards. */
        private void accept() {
            if (isHeldUp()) {
                mSchedule.add(mHeldUntilMs, this::accept);
            } else if (mProgress == null) {
                mProgress = new ConnectionProgress(mClock.timeMs(nowMs()));
                read();
            }
        }

        private void drip() {
            if (!mIsEnded) {
                arrive(Part.FURTHER_OF_HEAD, 0);
                mSchedule.add(nowMs() + 250, this::drip);
            }
        }

        private void sendRequest() {
            long headMs = mRandom.nextLong(mMinHeadTimeoutMs * 4 / 5);
            long bodyMs = mRandom.nextLong(DEADLINE_MS / 2);
            int bodyParts = mRandom.nextInt(5);
            arrive(Part.FIRST_OF_HEAD, 0);
            for (int i = 1; i < HEAD_PARTS; i++) {
                arrive(Part.FURTHER_OF_HEAD, headMs * i / HEAD_PARTS);
            }
            arrive(Part.LAST_OF_HEAD, headMs);
            long partsMs = Math.min(bodyMs, mMinHeadTimeoutMs / 2);
            for (int i = 0; i < bodyParts; i++) {
                arrive(Part.OF_BODY, headMs + partsMs * i / bodyParts);
            }
            arrive(Part.LAST_OF_BODY, headMs + partsMs);
        }

        private void arrive(Part part, long delayMs) {
            mSchedule.add(
                    nowMs() + delayMs,
                    () -> {
                        mSocket.add(part);
                        if (part == Part.LAST_OF_BODY) {
                            mIsSent = true;
                            if (mIsEnded) {
                                mFaults.add("a sound caller was cut off");
                            }
                        }
                        read();
                    });
        }

        void read() {
            if (isHeldUp() || mProgress == null) {
                return;
            }
            for (Part part = mSocket.poll(); part != null; part = mSocket.poll()) {
                long timeMs = mClock.timeMs(nowMs());
                mProgress.bytesReceived(timeMs);
                switch (part) {
                    case LAST_OF_HEAD -> {
                        mProgress.headRead(timeMs);
                        mProgress.bodyDue(timeMs + DEADLINE_MS);
                    }
                    case OF_BODY -> mProgress.bodyReceived(PART_BYTES);
                    case LAST_OF_BODY -> {
                        mProgress.requestRead();
                        mWholeRequests++;
                        mSchedule.add(nowMs() + mRandom.nextInt(20_000), this::answer);
                    }
                    default -> {}
                }
            }
        }

        private void answer() {
            if (isHeldUp()) {
                mSchedule.add(mHeldUntilMs, this::answer);
                return;
            }
            if (mIsEnded) {
                mFaults.add("a connection was ended with a whole request");
                return;
            }
            mAnswered++;
            mAnswers++;
            mIsSent = false;
            mProgress.answered(mClock.timeMs(nowMs()), mLimits.idleTimeoutMs());
            mStartedMs = nowMs();
            mHeldMs = 0;
            if (mKind == CallerKind.SOUND_AND_KEPT && mAnswers < 3) {
                long pauseMs = mRandom.nextLong(mLimits.idleTimeoutMs() * 4 / 5);
                mSchedule.add(nowMs() + pauseMs, this::repeat);
            }
        }

        private void repeat() {
            if (mIsEnded) {
                mFaults.add("a kept connection was closed below the idle limit");
            } else {
                sendRequest();
            }
        }

        void check() {
            if (mProgress == null || mIsEnded) {
                return;
            }
            if (endReason().isPresent()) {
                read();
                mIsEnded = endReason().isPresent();
                if (mIsEnded) {
                    mEnded++;
                    checkEnd();
                }
            }
        }

        private Optional<EndReason> endReason() {
            return mProgress.endReason(mLimits, mClock.timeMs(nowMs()));
        }

        private void checkEnd() {
            if (mIsSent) {
                mFaults.add("a connection was ended with a whole request in its socket");
            }
            long limitMs =
                    switch (mKind) {
                        case SOUND, SOUND_AND_KEPT -> mMaxIdleTimeoutMs;
                        case HALF_BODY -> DEADLINE_MS;
                        default -> mMaxHeadTimeoutMs;
                    };
            if (nowMs() - mStartedMs > limitMs + mHeldMs + SLACK_MS) {
                mFaults.add(mKind + " was open " + (nowMs() - mStartedMs) + " ms");
            }
        }

        void checkAtTheEnd() {
            if (!mIsEnded) {
                mFaults.add(mKind + " is still open");
            }
            if (isSound() && (mWholeRequests == 0 || mAnswers != mWholeRequests)) {
                mFaults.add("a whole request has no answer");
            }
        }
    }
}
