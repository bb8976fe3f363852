package org.rattanport.kernel.gateway;

import java.time.Duration;
import org.rattanport.kernel.time.Deadline;

/** Leases engine memory for parts of prompts. */
public interface EngineMemoryClient {
    /**
     * Acquires a memory lease, or renews the lease of that id; returns whether the engine granted
     * it.
     */
    boolean acquire(String address, String id, int tokens, Duration duration, Deadline deadline);

    /** Whether the engine responds at all. */
    boolean isReachable(String address, Deadline deadline);

    /** Releases a lease; returns whether the engine confirmed the release. */
    boolean release(String address, String id, Deadline deadline);
}
