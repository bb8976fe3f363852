package org.rattanport.kernel.gateway;

import java.util.Comparator;

/**
 * A position in the history of the store. A store that is restored from a copy begins a new era, in
 * which it gives out versions again that it had given out before.
 *
 * @param era number of the era; rises by one each time the store is restored
 * @param version version within the era
 */
public record StorePosition(long era, long version) implements Comparable<StorePosition> {
    /** Position before the first read. */
    public static final StorePosition UNREAD = new StorePosition(0, -1);

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparing(StorePosition::version);

    public boolean isAfter(StorePosition other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }
}
