package org.filbertrudder.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.filbertrudder.policy.routing.PromptDemand;
import org.filbertrudder.policy.routing.PromptPart;

/** Records seeded sequences of requests whose prompts share parts. */
final class SharedPartsTraffic {

    private static final double OWN_TOKENS_SPREAD = 0.3;
    private static final double OUTPUT_ESTIMATE_SPREAD = 0.5;
    private static final String OWN_PART = "own";

    private SharedPartsTraffic() {}

    /**
     * Describes the requests of one kind. Their prompts begin with a path from a root of a tree of
     * shared parts to a leaf.
     *
     * @param name the prefix of the ids of the parts
     * @param perSecond the average number of requests a second
     * @param levels the levels of the tree, beginning with the roots
     * @param ownTokens the median number of tokens that a request does not share
     * @param outputTokens the median number of tokens of the response
     * @param goalMs the time to first token within which a request counts as served in time
     * @param deadlineMs the time after which the caller leaves
     */
    record Kind(
            String name,
            double perSecond,
            List<Level> levels,
            double ownTokens,
            double outputTokens,
            long goalMs,
            long deadlineMs) {}

    /**
     * Describes one level of a tree of parts.
     *
     * @param branches the number of parts under each part of the level above
     * @param tokens the length of each part
     */
    record Level(int branches, long tokens) {}

    /**
     * Describes a time of more traffic.
     *
     * @param factor the factor of all rates
     */
    record Burst(double fromMs, double untilMs, double factor) {

        static final Burst NONE = new Burst(0, 0, 1);

        double factorAt(double atMs) {
            return atMs >= fromMs && atMs < untilMs ? factor : 1;
        }
    }

    /** Records the requests that arrive until a time at the given number of deciders. */
    static List<RecordedPrompt> record(
            List<Kind> kinds, Burst burst, double untilMs, int deciders, long seed) {
        Random random = new Random(seed);
        double perSecond = kinds.stream().mapToDouble(Kind::perSecond).sum();
        List<RecordedPrompt> prompts = new ArrayList<>();
        double atMs = 0;
        while (true) {
            double perMs = perSecond * burst.factorAt(atMs) / 1_000;
            atMs -= Math.log(1 - random.nextDouble()) / perMs;
            if (atMs >= untilMs) {
                return prompts;
            }
            Kind kind = draw(kinds, random.nextDouble() * perSecond);
            prompts.add(record(kind, atMs, random.nextInt(deciders), random));
        }
    }

    private static Kind draw(List<Kind> kinds, double position) {
        double remaining = position;
        for (Kind kind : kinds) {
            remaining -= kind.perSecond();
            if (remaining < 0) {
                return kind;
            }
        }
        return kinds.get(kinds.size() - 1);
    }

    private static RecordedPrompt record(Kind kind, double atMs, int decider, Random random) {
        List<PromptPart> parts = new ArrayList<>();
        StringBuilder id = new StringBuilder(kind.name());
        for (Level level : kind.levels()) {
            id.append('-').append(random.nextInt(level.branches()));
            parts.add(new PromptPart(id.toString(), level.tokens()));
        }
        long ownTokens = drawTokens(kind.ownTokens(), OWN_TOKENS_SPREAD, random);
        parts.add(new PromptPart(OWN_PART, ownTokens));
        long promptTokens = parts.stream().mapToLong(PromptPart::tokens).sum();
        int outputTokens = (int) drawTokens(kind.outputTokens(), OUTPUT_ESTIMATE_SPREAD, random);
        long expectedTokens = drawTokens(outputTokens, OUTPUT_ESTIMATE_SPREAD, random);
        return new RecordedPrompt(
                atMs,
                decider,
                new PromptDemand(parts, promptTokens, expectedTokens),
                outputTokens,
                kind.goalMs(),
                kind.deadlineMs());
    }

    private static long drawTokens(double median, double spread, Random random) {
        return Math.max(1, Math.round(median * Math.exp(spread * random.nextGaussian())));
    }
}
