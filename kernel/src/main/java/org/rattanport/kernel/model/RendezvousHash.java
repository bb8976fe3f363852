package org.rattanport.kernel.model;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/**
 * Rendezvous (highest random weight) hashing: all instances that see the same candidates agree on
 * their order for a key, and the removal of a candidate moves only the keys assigned to it.
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** Bits of a hash beyond the precision of a double. */
    private static final int UNUSED_HASH_BITS = 11;

    private static final double UNIT_OF_HASH = 0x1p-53;

    private RendezvousHash() {}

    /** Returns the candidates in descending order of their weight for the key. */
    public static <T> List<T> order(
            String key, Collection<T> candidates, Function<T, String> name) {
        record Weighted<T>(T candidate, long weight, String name) {}
        return candidates.stream()
                .map(each -> new Weighted<>(each, weight(key, name.apply(each)), name.apply(each)))
                .sorted(
                        Comparator.comparingLong((Weighted<T> each) -> each.weight())
                                .reversed()
                                .thenComparing(Weighted::name))
                .map(Weighted::candidate)
                .toList();
    }

    /**
     * Returns the candidates in an order in which each one is the first for a share of the keys
     * that is proportional to its capacity.
     */
    public static <T> List<T> orderByCapacity(
            String key,
            Collection<T> candidates,
            Function<T, String> name,
            ToDoubleFunction<T> capacity) {
        record Scored<T>(T candidate, double score, String name) {}
        return candidates.stream()
                .map(
                        each ->
                                new Scored<>(
                                        each,
                                        -Math.log(unitInterval(weight(key, name.apply(each))))
                                                / capacity.applyAsDouble(each),
                                        name.apply(each)))
                .sorted(
                        Comparator.comparingDouble((Scored<T> each) -> each.score())
                                .thenComparing(Scored::name))
                .map(Scored::candidate)
                .toList();
    }

    /** Returns a number between zero and one that depends on the key and the candidate only. */
    public static double fraction(String key, String candidate) {
        return unitInterval(weight(key, candidate));
    }

    /** Maps a hash to a number between zero and one, excluding both. */
    private static double unitInterval(long hash) {
        return ((hash >>> UNUSED_HASH_BITS) + 0.5) * UNIT_OF_HASH;
    }

    /** Returns the weight of one candidate for one key. */
    public static long weight(String key, String candidate) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < key.length(); i++) {
            hash = (hash ^ key.charAt(i)) * FNV_PRIME;
        }
        hash = (hash ^ '/') * FNV_PRIME;
        for (int i = 0; i < candidate.length(); i++) {
            hash = (hash ^ candidate.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    // FNV alone leaves the high bits of short keys nearly equal, so the hash also goes through the
    // 64-bit finaliser of SplitMix.
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
