package org.filbertrudder.measure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.filbertrudder.measure.SharedPartsExperiment.View;
import org.filbertrudder.measure.SharedPartsPattern.Change;
import org.filbertrudder.measure.SharedPartsSimulation.Result;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.policy.routing.PromptPart;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the patterns of the experiment on shared parts, its determinism and its bound. */
public class SharedPartsExperimentTest {

    private static final View FRESH = new View(6, 250);
    private static final View STALE = new View(32, 2_000);

    @DataProvider
    public Object[][] patternsAndChoices() {
        List<Object[]> rows = new ArrayList<>();
        for (SharedPartsPattern pattern : SharedPartsPattern.values()) {
            for (PromptChoice choice : PromptChoice.values()) {
                rows.add(new Object[] {pattern, choice, FRESH, 1L});
                rows.add(new Object[] {pattern, choice, STALE, 2L});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    @Test(dataProvider = "patternsAndChoices")
    public void noChoiceReadsLessThanTheBound(
            SharedPartsPattern pattern, PromptChoice choice, View view, long seed) {
        Result result = SharedPartsExperiment.simulate(pattern, view, choice, seed);

        assertTrue(result.readTokens().redundantTokens() >= result.boundTokens());
        assertTrue(result.redundantPercent() >= result.boundPercent());
    }

    @DataProvider
    public Object[][] patterns() {
        return Arrays.stream(SharedPartsPattern.values())
                .map(pattern -> new Object[] {pattern})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "patterns")
    public void producesTheSameResultsForTheSameSeed(SharedPartsPattern pattern) {
        assertEquals(describe(pattern, 7), describe(pattern, 7));
        assertTrue(!describe(pattern, 7).equals(describe(pattern, 8)));
    }

    private static String describe(SharedPartsPattern pattern, long seed) {
        return SharedPartsExperiment.simulate(pattern, FRESH, PromptChoice.ROUTER, seed)
                .calls()
                .stream()
                .map(call -> call.prompt() + " " + call.sending() + " " + call.started())
                .collect(Collectors.joining("\n"));
    }

    @Test
    public void aCalmFleetServesAllRequestsInTime() {
        Result result =
                SharedPartsExperiment.simulate(
                        SharedPartsPattern.CALM, FRESH, PromptChoice.ROUTER, 1);

        assertEquals(result.servedInTimeShare(), 1.0);
    }

    @Test
    public void aBurstTriplesTheRate() {
        List<RecordedPrompt> prompts = SharedPartsPattern.BURST.record(6, 1);

        double before = prompts.stream().filter(each -> each.arrivedMs() < 8_000).count();
        double during =
                prompts.stream()
                        .filter(each -> each.arrivedMs() >= 8_000 && each.arrivedMs() < 16_000)
                        .count();
        assertEquals(during / before, 3, 0.5);
    }

    @Test
    public void aHotPartNeedsSeveralEngines() {
        Result result =
                SharedPartsExperiment.simulate(
                        SharedPartsPattern.HOT_PART, FRESH, PromptChoice.LEAST_LOADED, 1);

        long ownTokens =
                result.calls().stream()
                        .map(PromptCall::prompt)
                        .filter(prompt -> leaf(prompt).startsWith("hot"))
                        .mapToLong(RecordedPrompt::ownTokens)
                        .sum();
        double engineTokens = PromptEngine.MAX_READ_TOKENS_PER_MS * SharedPartsPattern.UNTIL_MS;
        assertTrue(ownTokens > 2 * engineTokens);
        assertTrue(result.boundTokens() >= 2 * 6_000);
    }

    @Test
    public void rarePartsAreSharedByFewRequests() {
        Map<String, Long> requestsByPart =
                SharedPartsPattern.RARE_PARTS.record(6, 1).stream()
                        .map(SharedPartsExperimentTest::leaf)
                        .filter(leaf -> leaf.startsWith("rare"))
                        .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));

        long once = requestsByPart.values().stream().filter(requests -> requests == 1).count();
        assertTrue(2 * once > requestsByPart.size());
    }

    private static String leaf(RecordedPrompt prompt) {
        List<String> shared = prompt.demand().sharedPartIds();
        return shared.get(shared.size() - 1);
    }

    @Test
    public void eachPartOfATreeHasOneParent() {
        for (RecordedPrompt prompt : SharedPartsPattern.TREES.record(6, 1)) {
            List<PromptPart> parts = prompt.demand().parts();
            for (int i = 1; i < parts.size() - 1; i++) {
                assertTrue(parts.get(i).id().startsWith(parts.get(i - 1).id() + "-"));
            }
        }
    }

    @DataProvider
    public Object[][] absences() {
        double returnMs = SharedPartsSimulation.CHANGE_UNTIL_MS;
        List<Object[]> rows = new ArrayList<>();
        for (PromptChoice choice : PromptChoice.values()) {
            rows.add(new Object[] {Change.LEAVING, choice, Double.MAX_VALUE});
            rows.add(new Object[] {Change.COLD_RETURN, choice, returnMs});
            rows.add(new Object[] {Change.PAUSE, choice, returnMs});
        }
        return rows.toArray(Object[][]::new);
    }

    @Test(dataProvider = "absences")
    public void anEngineThatIsAwayGetsNoRequests(
            Change change, PromptChoice choice, double returnMs) {
        SharedPartsPattern pattern = SharedPartsPattern.valueOf(change.name());
        Result result = SharedPartsExperiment.simulate(pattern, FRESH, choice, 1);
        List<EndpointId> changed =
                IntStream.range(0, SharedPartsSimulation.CHANGED_ENGINES)
                        .mapToObj(i -> EndpointId.of("engine-" + i))
                        .toList();

        List<Double> sentMs =
                result.calls().stream()
                        .flatMap(call -> call.sending().stream())
                        .filter(sending -> changed.contains(sending.engine()))
                        .map(PromptCall.Sending::atMs)
                        .toList();
        double awayFromMs = SharedPartsSimulation.CHANGE_FROM_MS;
        assertTrue(sentMs.stream().anyMatch(atMs -> atMs < awayFromMs));
        assertTrue(sentMs.stream().noneMatch(atMs -> atMs > awayFromMs && atMs < returnMs));
        assertEquals(
                sentMs.stream().anyMatch(atMs -> atMs >= returnMs), returnMs < Double.MAX_VALUE);
    }

    @Test
    public void enginesThatReturnColdReadTheirPartsAgain() {
        assertTrue(
                redundantTokens(SharedPartsPattern.COLD_RETURN)
                        > redundantTokens(SharedPartsPattern.PAUSE));
    }

    private static long redundantTokens(SharedPartsPattern pattern) {
        return SharedPartsExperiment.simulate(pattern, FRESH, PromptChoice.RENDEZVOUS, 1)
                .readTokens()
                .redundantTokens();
    }

    @Test
    public void slowEnginesDelayFirstTokens() {
        assertTrue(firstTokenMs(SharedPartsPattern.SLOW) > firstTokenMs(SharedPartsPattern.CALM));
    }

    private static double firstTokenMs(SharedPartsPattern pattern) {
        return SharedPartsExperiment.simulate(pattern, FRESH, PromptChoice.RENDEZVOUS, 1)
                .firstTokenMs(0.95);
    }
}
