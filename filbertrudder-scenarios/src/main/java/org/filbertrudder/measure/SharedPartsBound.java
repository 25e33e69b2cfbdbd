package org.filbertrudder.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.filbertrudder.policy.routing.PromptPart;

/**
 * Computes the least redundant reading with which any placement gives a set of requests their first
 * tokens no later than at stated times.
 *
 * <p>Consider a shared part and the requests with it that arrive at or after {@code s} and have
 * their first token by {@code e}. Their own tokens are read between the two times, on engines that
 * have read the part by {@code e}. One engine reads at most {@code rate * (e - s)} tokens in this
 * time, so at least {@code n}, the quotient of the own tokens and this amount, rounded up, have
 * read the part, and all of these but the first have done so redundantly. The bound is the sum over
 * all parts of {@code n - 1} times the length of the part, for the interval with the largest {@code
 * n}. Each part counts only its own tokens, so the sum counts no token twice.
 *
 * <p>This is a relaxation: caches never evict, engines are never away, slow or generating, and a
 * part may be read before the first request for it arrives.
 */
final class SharedPartsBound {

    /** The relative error of sums of floating-point times that must not raise the bound. */
    private static final double ROUNDING = 1e-9;

    private final double mTokensPerMs;
    private final int mEngines;

    /**
     * Creates the bound for a fleet.
     *
     * @param tokensPerMs the highest speed at which an engine reads
     * @param engines the number of engines
     */
    SharedPartsBound(double tokensPerMs, int engines) {
        mTokensPerMs = tokensPerMs;
        mEngines = engines;
    }

    /** Returns the least redundant reading, in tokens. */
    long redundantTokens(List<Started> requests) {
        Map<String, PromptPart> parts = new HashMap<>();
        Map<String, List<Started>> requestsByPart = new HashMap<>();
        for (Started request : requests) {
            List<PromptPart> all = request.prompt().demand().parts();
            for (PromptPart part : all.subList(0, all.size() - 1)) {
                parts.put(part.id(), part);
                requestsByPart.computeIfAbsent(part.id(), id -> new ArrayList<>()).add(request);
            }
        }
        long tokens = 0;
        for (Map.Entry<String, List<Started>> each : requestsByPart.entrySet()) {
            tokens += (leastEngines(each.getValue()) - 1) * parts.get(each.getKey()).tokens();
        }
        return tokens;
    }

    /** Returns the least number of engines that read a part which all the requests share. */
    private int leastEngines(List<Started> requests) {
        List<Started> byFirstToken =
                requests.stream()
                        .sorted(Comparator.comparingDouble(Started::firstTokenMs))
                        .toList();
        int least = 1;
        for (Started first : requests) {
            double fromMs = first.prompt().arrivedMs();
            long ownTokens = 0;
            for (Started request : byFirstToken) {
                if (request.prompt().arrivedMs() >= fromMs) {
                    ownTokens += request.prompt().ownTokens();
                    double engineTokens = mTokensPerMs * (request.firstTokenMs() - fromMs);
                    double engines = ownTokens / engineTokens;
                    least = Math.max(least, (int) Math.ceil(engines * (1 - ROUNDING)));
                }
            }
        }
        return Math.min(least, mEngines);
    }

    /**
     * Describes a request that has got its first token.
     *
     * @param firstTokenMs when the engine had generated it
     */
    record Started(RecordedPrompt prompt, double firstTokenMs) {}
}
