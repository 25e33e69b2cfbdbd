package org.filbertrudder.policy.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.filbertrudder.model.Change;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.Edit;
import org.filbertrudder.model.Rules;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that every accepted change is adopted once and in order, and that none is reverted. */
public class ConfigurationLogTest {

    private static List<Change> history(int length, String author) {
        List<Change> changes = new ArrayList<>();
        Configuration current = Configuration.EMPTY;
        for (int i = 1; i <= length; i++) {
            Change change =
                    new Change(
                            i,
                            author + "-" + i,
                            author,
                            i,
                            current.digest(),
                            List.of(new Edit.Put(Rules.of(i, 100_000, 10, 10, 0.1))));
            changes.add(change);
            current = current.apply(change);
        }
        return changes;
    }

    private static ConfigurationLog logWith(List<Change> changes, int maxRetainedChanges) {
        ConfigurationLog log = new ConfigurationLog(maxRetainedChanges);
        changes.forEach(log::offer);
        return log;
    }

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[50][];
        for (int i = 0; i < seeds.length; i++) {
            seeds[i] = new Object[] {(long) i};
        }
        return seeds;
    }

    @Test(dataProvider = "seeds")
    public void neverRevertsUnderDelayedDuplicatedAndReorderedChanges(long seed) {
        List<Change> history = history(20, "a");
        List<Change> offers = new ArrayList<>(history);
        offers.addAll(history);
        Collections.shuffle(offers, new Random(seed));
        ConfigurationLog log = new ConfigurationLog(100);
        long highestRevision = 0;

        for (int round = 0; round < 20; round++) {
            for (Change change : offers) {
                log.offer(change);
                assertTrue(log.current().revision() >= highestRevision);
                highestRevision = log.current().revision();
            }
        }

        assertEquals(log.current().revision(), 20);
        assertEquals(log.current().rules().maxQueueWaitMs(), 20);
    }

    @Test
    public void rejectsAChangeOfADifferentHistory() {
        ConfigurationLog log = logWith(history(5, "a"), 100);
        List<Change> otherHistory = history(6, "b");

        assertEquals(log.offer(otherHistory.get(5)), AdoptionResult.FORKED);
        assertEquals(log.offer(otherHistory.get(4)), AdoptionResult.FORKED);
        assertEquals(log.current().revision(), 5);
        assertEquals(log.forkedOffers(), 2);
    }

    @Test
    public void rejectsASnapshotOlderThanTheRevisionInForce() {
        ConfigurationLog log = logWith(history(5, "a"), 100);
        Configuration olderSnapshot = logWith(history(3, "a"), 100).current();

        assertEquals(log.offer(olderSnapshot), AdoptionResult.STALE);
        assertEquals(log.current().revision(), 5);
    }

    @Test
    public void reportsAGapInsteadOfSkippingChanges() {
        ConfigurationLog log = logWith(history(2, "a"), 100);

        assertEquals(log.offer(history(4, "a").get(3)), AdoptionResult.GAP);
        assertEquals(log.current().revision(), 2);
    }

    @Test
    public void returnsTheMissingChangesOrEmptyIfNotRetained() {
        ConfigurationLog log = logWith(history(10, "a"), 4);

        assertEquals(log.changesAfter(7).orElseThrow().size(), 3);
        assertTrue(log.changesAfter(10).orElseThrow().isEmpty());
        assertTrue(log.changesAfter(2).isEmpty());
    }
}
