package org.rattanport.decisions.ordering;

import java.util.Comparator;

/** Decides which waiting attempt is placed next. */
public interface OrderingPolicy {
    /** Whether each length class has a queue of its own. */
    boolean separatesLengthClasses();

    /** Order of the entries at the given time; the smallest entry is placed next. */
    Comparator<QueueEntry> order(long nowNanos);
}
