package org.filbertrudder.policy.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how long a member is unanswered before it is suspected again. */
public class SuspicionBackoffTest {

    private static final MembershipSettings SETTINGS =
            new MembershipSettings(500, 1_500, 3_500, 2_000, 60_000, 3);
    private static final InstanceId B = InstanceId.of("b");
    private static final long STEP_MS = 50;

    private final Membership mMembership =
            new Membership(member("a", 100), SETTINGS, new Random(1));
    private long mNowMs;

    private static Member member(String id, long incarnation) {
        return new Member(
                InstanceId.of(id),
                incarnation,
                RegionId.of("mtl"),
                FailureDomainId.of("mtl-a"),
                "127.0.0.1",
                1_000 + id.charAt(0),
                1,
                1,
                MemberState.LIVE);
    }

    private Member b() {
        return mMembership.member(B).orElse(member("b", 100));
    }

    private void refute() {
        Member refuted = member("b", b().incarnation() + 1);
        mMembership.handle(new PeerMessage.MemberUpdates(List.of(refuted)), B, mNowMs);
    }

    /** Lets the member be silent until it is suspected, and returns for how long it was. */
    private long silentUntilSuspected() {
        long sinceMs = mNowMs;
        while (b().state() == MemberState.LIVE) {
            mNowMs += STEP_MS;
            mMembership.tick(1, mNowMs);
        }
        return mNowMs - sinceMs;
    }

    private void answerFor(long durationMs) {
        for (long untilMs = mNowMs + durationMs; mNowMs < untilMs; ) {
            mNowMs += STEP_MS;
            mMembership.tick(1, mNowMs);
            mMembership.handle(new PeerMessage.HeartbeatAck(b(), 1, 0), mNowMs);
        }
    }

    /** Returns the steady time before the last silence, and the factor that is left then. */
    @DataProvider
    public Object[][] steadyTimes() {
        return new Object[][] {
            {0, 16},
            {23_000, 16},
            {25_000, 8},
            {37_000, 4},
            {44_000, 2},
            {48_000, 1},
            {600_000, 1},
        };
    }

    @Test(dataProvider = "steadyTimes")
    public void theDoubledTimeShrinksAgainWithSteadyAnswers(long steadyMs, int factor) {
        SuspicionBackoffTest run = new SuspicionBackoffTest();
        for (int i = 0; i < 6; i++) {
            run.refute();
            run.silentUntilSuspected();
        }
        run.refute();

        run.answerFor(steadyMs);
        long silentMs = run.silentUntilSuspected();

        long suspectAfterMs = SETTINGS.suspectAfterMs() * factor;
        assertTrue(
                silentMs > suspectAfterMs
                        && silentMs <= suspectAfterMs + 2 * SETTINGS.heartbeatMs(),
                "silent for " + silentMs + " ms, expected about " + suspectAfterMs);
    }

    @Test
    public void answersWithGapsAreNotSteady() {
        SuspicionBackoffTest run = new SuspicionBackoffTest();
        for (int i = 0; i < 6; i++) {
            run.refute();
            run.silentUntilSuspected();
        }
        run.refute();

        for (int i = 0; i < 20; i++) {
            run.answerFor(5_000);
            for (int step = 0; step < 40; step++) {
                run.mNowMs += STEP_MS;
                run.mMembership.tick(1, run.mNowMs);
            }
        }

        assertEquals(run.b().state(), MemberState.LIVE);
        assertTrue(run.silentUntilSuspected() > 20_000);
    }
}
