package org.filbertrudder.policy.queueing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.filbertrudder.model.AccountId;
import org.testng.annotations.Test;

/** Tests the order in which waiting requests are served. */
public class FairQueueTest {

    private static final AccountId LARGE = AccountId.of("large");
    private static final AccountId SMALL = AccountId.of("small");

    private final FairQueue<String> mQueue = new FairQueue<>();

    private static List<String> pollMany(FairQueue<String> queue, int count) {
        List<String> polled = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            polled.add(queue.poll().orElseThrow());
        }
        return polled;
    }

    @Test
    public void servesASmallAccountBeforeTheBacklogOfALargeOne() {
        FairQueue<String> queue = new FairQueue<>();
        for (int i = 0; i < 100; i++) {
            queue.add(LARGE, "large-" + i, 50, 1_000);
        }
        queue.poll();
        queue.add(SMALL, "small", 50, 1_000);

        assertEquals(queue.poll().orElseThrow(), "small");
    }

    @Test
    public void givesEachAccountTheSameNumberOfTokens() {
        FairQueue<String> queue = new FairQueue<>();
        for (int i = 0; i < 40; i++) {
            queue.add(LARGE, "large", 100, 1_000);
            queue.add(SMALL, "small", 25, 1_000);
        }

        List<String> polled = pollMany(queue, 30);

        long largeCount = polled.stream().filter("large"::equals).count();
        assertTrue(
                largeCount >= 5 && largeCount <= 7,
                "requests of the large account: " + largeCount + " of 30");
    }

    @Test
    public void keepsTheServedTokensOfAnAccountThatIsBrieflyIdle() {
        FairQueue<String> queue = new FairQueue<>();
        queue.add(LARGE, "large-1", 1_000, 1_000);
        queue.add(SMALL, "small-1", 10, 1_000);
        pollMany(queue, 2);
        queue.add(LARGE, "large-2", 1_000, 1_000);
        queue.add(SMALL, "small-2", 10, 1_000);

        assertEquals(pollMany(queue, 2), List.of("small-2", "large-2"));
    }

    @Test
    public void aSkippedRequestKeepsItsPositionAndIsNotCharged() {
        FairQueue<String> queue = new FairQueue<>();
        queue.add(LARGE, "first", 1_000, 1_000);
        queue.add(LARGE, "second", 10, 1_000);
        queue.add(SMALL, "small", 500, 1_000);

        Optional<String> started = queue.poll(skip("first", "small"));

        assertEquals(started, Optional.of("second"));
        assertEquals(pollMany(queue, 2), List.of("small", "first"));
        assertEquals(queue.size(), 0);
    }

    @Test
    public void startsNoRequestAfterADecisionToStop() {
        FairQueue<String> queue = new FairQueue<>();
        queue.add(LARGE, "first", 10, 1_000);
        queue.add(LARGE, "second", 10, 1_000);

        assertEquals(queue.poll(request -> FairQueue.PollDecision.STOP), Optional.empty());
        assertEquals(queue.poll(skip("first", "second")), Optional.empty());
        assertEquals(pollMany(queue, 2), List.of("first", "second"));
    }

    private static Function<String, FairQueue.PollDecision> skip(String... requests) {
        return request ->
                List.of(requests).contains(request)
                        ? FairQueue.PollDecision.SKIP
                        : FairQueue.PollDecision.START;
    }

    @Test
    public void removesRequestsWhoseDeadlineHasPassed() {
        FairQueue<String> queue = new FairQueue<>();
        queue.add(LARGE, "early", 10, 100);
        queue.add(LARGE, "late", 10, 200);

        assertEquals(queue.removeExpired(150), List.of("early"));
        assertEquals(queue.size(), 1);
    }

    @Test
    public void countsOnlyTheTokensServedBeforeANewRequest() {
        mQueue.add(LARGE, "large", 5_000, 1_000);
        mQueue.add(LARGE, "large", 5_000, 1_000);

        assertEquals(mQueue.tokensAhead(SMALL), 0);
        assertEquals(mQueue.tokensAhead(LARGE), 10_000);
    }

    @Test
    public void servesRequestsOfAnAccountInTheOrderOfTheirSortKeys() {
        FairQueue<String> queue = new FairQueue<>();
        AccountId account = AccountId.of("club");
        queue.add(account, "long", 1, 10, 800);
        queue.add(account, "label", 1, 10, 400);
        queue.add(account, "chat", 1, 10, 0);
        queue.add(account, "chat-2", 1, 10, 0);

        assertEquals(queue.poll().orElseThrow(), "chat");
        assertEquals(queue.poll().orElseThrow(), "chat-2");
        assertEquals(queue.poll().orElseThrow(), "label");
        assertEquals(queue.poll().orElseThrow(), "long");
    }
}
