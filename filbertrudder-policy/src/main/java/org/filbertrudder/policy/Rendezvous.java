package org.filbertrudder.policy;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/** Ranks candidates for a key by highest random weight, so that few keys move with the set. */
public final class Rendezvous {

    private static final double MAX_WEIGHT = Long.MAX_VALUE;
    private static final long PRIME = 0x100000001b3L;
    private static final long OFFSET = 0xcbf29ce484222325L;

    private Rendezvous() {}

    /** Returns the candidates for the key, best first. */
    public static <T> List<T> rank(
            String key, Collection<T> candidates, Function<T, String> identity) {
        long keyHash = hash(key);
        return candidates.stream()
                .map(candidate -> Weighted.of(candidate, identity.apply(candidate), keyHash))
                .sorted()
                .map(Weighted::candidate)
                .toList();
    }

    /** Returns the best candidate for the key. */
    public static <T> Optional<T> first(
            String key, Collection<T> candidates, Function<T, String> identity) {
        long keyHash = hash(key);
        return candidates.stream()
                .map(candidate -> Weighted.of(candidate, identity.apply(candidate), keyHash))
                .min(Comparator.naturalOrder())
                .map(Weighted::candidate);
    }

    /**
     * Returns the candidates for the key, best first, where each is the best one for a part of all
     * keys that is proportional to its strength.
     */
    public static <T> List<T> rankByStrength(
            String key,
            Collection<T> candidates,
            Function<T, String> identity,
            ToIntFunction<T> strength) {
        long keyHash = hash(key);
        Map<T, Double> scores = new HashMap<>();
        for (T candidate : candidates) {
            double uniform =
                    (weight(keyHash, hash(identity.apply(candidate))) + 1.0) / (MAX_WEIGHT + 2.0);
            scores.put(candidate, -Math.log(uniform) / strength.applyAsInt(candidate));
        }
        Comparator<T> leastScore = Comparator.comparingDouble(scores::get);
        return candidates.stream().sorted(leastScore.thenComparing(identity)).toList();
    }

    /** Returns a well-mixed non-negative hash of the two strings. */
    public static long weight(String key, String candidate) {
        return weight(hash(key), hash(candidate));
    }

    /** Returns a well-mixed non-negative number from the hashes of a key and a candidate. */
    public static long weight(long keyHash, long candidateHash) {
        long mixed = keyHash * PRIME ^ Long.rotateLeft(candidateHash, 31);
        mixed ^= mixed >>> 33;
        mixed *= 0xff51afd7ed558ccdL;
        mixed ^= mixed >>> 33;
        mixed *= 0xc4ceb9fe1a85ec53L;
        mixed ^= mixed >>> 33;
        return mixed >>> 1;
    }

    /** Returns a hash of the text. */
    public static long hash(String text) {
        long hash = OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * PRIME;
        }
        return hash;
    }

    /** Holds a candidate with its weight; the heaviest comes first. */
    private record Weighted<T>(T candidate, String identity, long weight)
            implements Comparable<Weighted<T>> {

        static <T> Weighted<T> of(T candidate, String identity, long keyHash) {
            return new Weighted<>(candidate, identity, Rendezvous.weight(keyHash, hash(identity)));
        }

        @Override
        public int compareTo(Weighted<T> other) {
            int heaviestFirst = Long.compare(other.weight, weight);
            return heaviestFirst != 0 ? heaviestFirst : identity.compareTo(other.identity);
        }
    }
}
