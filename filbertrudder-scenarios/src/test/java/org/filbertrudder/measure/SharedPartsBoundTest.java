package org.filbertrudder.measure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.filbertrudder.measure.SharedPartsBound.Started;
import org.filbertrudder.policy.routing.PromptDemand;
import org.filbertrudder.policy.routing.PromptPart;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the bound against known cases and against all placements of short sequences. */
public class SharedPartsBoundTest {

    private static final double TOKENS_PER_MS = 10;
    private static final int ENGINES = 3;
    private static final int REQUESTS = 6;

    private final SharedPartsBound mBound = new SharedPartsBound(TOKENS_PER_MS, ENGINES);

    @Test
    public void oneEngineSufficesForRequestsThatItCanReadInTime() {
        List<Started> requests =
                List.of(started(0, 300, 500, 60), started(0, 300, 500, 60), started(0, 1, 500, 60));

        assertEquals(mBound.redundantTokens(requests.subList(0, 2)), 0);
        assertEquals(mBound.redundantTokens(requests), 500);
    }

    @Test
    public void nestedPartsCountOnlyTheirOwnLengths() {
        PromptPart root = new PromptPart("root", 40);
        PromptPart leaf = new PromptPart("root-leaf", 30);
        Started request = started(List.of(root, leaf), 0, 1_000, 100);

        assertEquals(mBound.redundantTokens(List.of(request)), 0);
        assertEquals(mBound.redundantTokens(List.of(request, request)), 70);
        assertEquals(mBound.redundantTokens(List.of(request, request, request)), 140);
    }

    @DataProvider
    public Object[][] seeds() {
        return IntStream.rangeClosed(1, 10)
                .mapToObj(seed -> new Object[] {seed})
                .toArray(Object[][]::new);
    }

    /** For the times of each placement, no placement that is as early reads less than the bound. */
    @Test(dataProvider = "seeds")
    public void noPlacementThatIsAsEarlyReadsLess(int seed) {
        List<RecordedPrompt> prompts = drawPrompts(new Random(seed));
        List<Outcome> outcomes = new ArrayList<>();
        for (int placement = 0; placement < Math.pow(ENGINES, REQUESTS); placement++) {
            outcomes.add(place(prompts, placement));
        }
        boolean anyPositive = false;
        for (Outcome outcome : outcomes) {
            long bound = mBound.redundantTokens(outcome.started());
            anyPositive |= bound > 0;
            long least =
                    outcomes.stream()
                            .filter(other -> other.isAsEarlyAs(outcome))
                            .mapToLong(Outcome::redundantTokens)
                            .min()
                            .orElseThrow();
            assertTrue(bound <= least, bound + " > " + least);
        }
        assertTrue(anyPositive, "The bound is 0 for all placements.");
    }

    private static List<RecordedPrompt> drawPrompts(Random random) {
        List<RecordedPrompt> prompts = new ArrayList<>();
        double atMs = 0;
        for (int i = 0; i < REQUESTS; i++) {
            atMs += random.nextInt(15);
            PromptPart root = new PromptPart("root", 100);
            PromptPart leaf = new PromptPart("root-" + random.nextInt(2), 60);
            List<PromptPart> shared = random.nextBoolean() ? List.of(root, leaf) : List.of(root);
            prompts.add(started(shared, atMs, 100 + random.nextInt(400), 0).prompt());
        }
        return prompts;
    }

    /** Places each request on the engine that a digit of the number names; engines read in turn. */
    private static Outcome place(List<RecordedPrompt> prompts, int placement) {
        double[] freeMs = new double[ENGINES];
        List<Set<String>> caches =
                IntStream.range(0, ENGINES).<Set<String>>mapToObj(i -> new HashSet<>()).toList();
        ReadTokens readTokens = new ReadTokens();
        List<Started> started = new ArrayList<>();
        int digits = placement;
        for (RecordedPrompt prompt : prompts) {
            int engine = digits % ENGINES;
            digits /= ENGINES;
            long tokens = prompt.ownTokens();
            List<PromptPart> parts = prompt.demand().parts();
            for (PromptPart part : parts.subList(0, parts.size() - 1)) {
                if (caches.get(engine).add(part.id())) {
                    readTokens.addShared(part.id(), part.tokens(), part.tokens());
                    tokens += part.tokens();
                }
            }
            freeMs[engine] = Math.max(freeMs[engine], prompt.arrivedMs()) + tokens / TOKENS_PER_MS;
            started.add(new Started(prompt, freeMs[engine]));
        }
        return new Outcome(started, readTokens.redundantTokens());
    }

    private record Outcome(List<Started> started, long redundantTokens) {

        boolean isAsEarlyAs(Outcome other) {
            return IntStream.range(0, started.size())
                    .allMatch(
                            i ->
                                    started.get(i).firstTokenMs()
                                            <= other.started.get(i).firstTokenMs());
        }
    }

    private static Started started(
            double arrivedMs, long ownTokens, long sharedTokens, double firstTokenMs) {
        return started(
                List.of(new PromptPart("part", sharedTokens)), arrivedMs, ownTokens, firstTokenMs);
    }

    private static Started started(
            List<PromptPart> shared, double arrivedMs, long ownTokens, double firstTokenMs) {
        List<PromptPart> parts = new ArrayList<>(shared);
        parts.add(new PromptPart("own", ownTokens));
        long promptTokens = parts.stream().mapToLong(PromptPart::tokens).sum();
        return new Started(
                new RecordedPrompt(
                        arrivedMs, 0, new PromptDemand(parts, promptTokens, 1), 1, 1_000, 1_000),
                firstTokenMs);
    }
}
