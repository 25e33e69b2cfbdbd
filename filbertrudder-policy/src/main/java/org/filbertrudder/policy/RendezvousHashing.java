package org.filbertrudder.policy;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import java.util.stream.Stream;

/**
 * Implements rendezvous hashing (highest random weight).
 *
 * <p>When a candidate is added or removed, only the keys that it gains or loses are reassigned.
 */
public final class RendezvousHashing {

    private static final double MAX_HASH_WEIGHT = Long.MAX_VALUE;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

    private RendezvousHashing() {}

    /** Returns the candidates in descending order of their hash weight for the key. */
    public static <T> List<T> rank(String key, Collection<T> candidates, Function<T, String> idOf) {
        return scored(key, candidates, idOf, (candidate, weight) -> -weight)
                .sorted()
                .map(ScoredCandidate::candidate)
                .toList();
    }

    /** Returns the candidate with the highest hash weight for the key. */
    public static <T> Optional<T> first(
            String key, Collection<T> candidates, Function<T, String> idOf) {
        return scored(key, candidates, idOf, (candidate, weight) -> -weight)
                .min(Comparator.naturalOrder())
                .map(ScoredCandidate::candidate);
    }

    /**
     * Returns the candidates ranked for the key by weighted rendezvous hashing: the share of all
     * keys for which a candidate comes first is proportional to its strength.
     */
    public static <T> List<T> rankByStrength(
            String key,
            Collection<T> candidates,
            Function<T, String> idOf,
            ToIntFunction<T> strength) {
        return scored(
                        key,
                        candidates,
                        idOf,
                        (candidate, weight) -> {
                            double uniform = (weight + 1.0) / (MAX_HASH_WEIGHT + 2.0);
                            return -Math.log(uniform) / strength.applyAsInt(candidate);
                        })
                .sorted()
                .map(ScoredCandidate::candidate)
                .toList();
    }

    /** Computes the score of each candidate once; the lowest score ranks first. */
    private static <T, S extends Comparable<S>> Stream<ScoredCandidate<T, S>> scored(
            String key,
            Collection<T> candidates,
            Function<T, String> idOf,
            BiFunction<T, Long, S> score) {
        long keyHash = hash(key);
        return candidates.stream()
                .map(
                        candidate -> {
                            String id = idOf.apply(candidate);
                            long weight = weight(keyHash, hash(id));
                            return new ScoredCandidate<>(
                                    candidate, id, score.apply(candidate, weight));
                        });
    }

    /** Returns the non-negative hash weight of a candidate for a key. */
    public static long weight(String key, String candidate) {
        return weight(hash(key), hash(candidate));
    }

    /**
     * Returns the non-negative hash weight for the hashes of a key and a candidate, mixed by the
     * finalizer of MurmurHash3.
     */
    public static long weight(long keyHash, long candidateHash) {
        long mixed = keyHash * FNV_PRIME ^ Long.rotateLeft(candidateHash, 31);
        mixed ^= mixed >>> 33;
        mixed *= 0xff51afd7ed558ccdL;
        mixed ^= mixed >>> 33;
        mixed *= 0xc4ceb9fe1a85ec53L;
        mixed ^= mixed >>> 33;
        return mixed >>> 1;
    }

    /** Returns the FNV-1a hash of the UTF-16 code units of the text. */
    public static long hash(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /** Orders candidates by ascending score, and by id if the scores are equal. */
    private record ScoredCandidate<T, S extends Comparable<S>>(T candidate, String id, S score)
            implements Comparable<ScoredCandidate<T, S>> {

        @Override
        public int compareTo(ScoredCandidate<T, S> other) {
            int byScore = score.compareTo(other.score);
            return byScore != 0 ? byScore : id.compareTo(other.id);
        }
    }
}
