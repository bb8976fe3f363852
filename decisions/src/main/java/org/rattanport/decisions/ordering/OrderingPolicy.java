package org.rattanport.decisions.ordering;

import java.util.Comparator;

/** Decides which of the waiting attempts goes next. */
public interface OrderingPolicy {
    /** Whether each length class waits in a queue of its own. */
    boolean separatesLengthClasses();

    /** Order of the entries at the given time, the first goes next. */
    Comparator<QueueEntry> order(long nowNanos);
}
