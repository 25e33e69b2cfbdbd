package org.filbertrudder.policy;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import java.util.stream.Stream;

/** Ranks candidates for a key by highest random weight, so that few keys move with the set. */
public final class Rendezvous {

    private static final double MAX_WEIGHT = Long.MAX_VALUE;
    private static final long PRIME = 0x100000001b3L;
    private static final long OFFSET = 0xcbf29ce484222325L;

    private Rendezvous() {}

    /** Returns the candidates for the key, best first. */
    public static <T> List<T> rank(
            String key, Collection<T> candidates, Function<T, String> identity) {
        return scored(key, candidates, identity, (candidate, weight) -> -weight)
                .sorted()
                .map(Scored::candidate)
                .toList();
    }

    /** Returns the best candidate for the key. */
    public static <T> Optional<T> first(
            String key, Collection<T> candidates, Function<T, String> identity) {
        return scored(key, candidates, identity, (candidate, weight) -> -weight)
                .min(Comparator.naturalOrder())
                .map(Scored::candidate);
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
        return scored(
                        key,
                        candidates,
                        identity,
                        (candidate, weight) -> {
                            double uniform = (weight + 1.0) / (MAX_WEIGHT + 2.0);
                            return -Math.log(uniform) / strength.applyAsInt(candidate);
                        })
                .sorted()
                .map(Scored::candidate)
                .toList();
    }

    /** Works the score of each candidate out once; the best has the least. */
    private static <T, S extends Comparable<S>> Stream<Scored<T, S>> scored(
            String key,
            Collection<T> candidates,
            Function<T, String> identity,
            BiFunction<T, Long, S> score) {
        long keyHash = hash(key);
        return candidates.stream()
                .map(
                        candidate -> {
                            String id = identity.apply(candidate);
                            long weight = weight(keyHash, hash(id));
                            return new Scored<>(candidate, id, score.apply(candidate, weight));
                        });
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

    /** Holds a candidate with its score; the least comes first. */
    private record Scored<T, S extends Comparable<S>>(T candidate, String identity, S score)
            implements Comparable<Scored<T, S>> {

        @Override
        public int compareTo(Scored<T, S> other) {
            int byScore = score.compareTo(other.score);
            return byScore != 0 ? byScore : identity.compareTo(other.identity);
        }
    }
}
