package org.rattanport.kernel.gateway;

import java.time.Duration;
import org.rattanport.kernel.time.Deadline;

/** Leases memory of engines for parts of prompts. */
public interface MemoryOrders {
    /** Leases memory, or renews the lease of that id; returns whether the engine granted it. */
    boolean reserve(String address, String id, int tokens, Duration hold, Deadline deadline);

    /** Gives leased memory back; returns whether the engine confirmed. */
    boolean release(String address, String id, Deadline deadline);
}
