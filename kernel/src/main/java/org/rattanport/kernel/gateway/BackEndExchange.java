package org.rattanport.kernel.gateway;

import java.util.Optional;
import org.rattanport.kernel.time.Deadline;

/** One request in flight at a back end. A single task reads its response. */
public interface BackEndExchange extends AutoCloseable {
    /**
     * Waits for the status and headers of the response.
     *
     * @throws org.rattanport.kernel.error.RattanportException {@code TARGET_FAILED} when the
     *     connection ends first, {@code DEADLINE_EXCEEDED} when the deadline passes first, {@code
     *     CANCELLED} after {@link #abort}
     */
    ResponseHead awaitHead(Deadline deadline);

    /**
     * Waits for the next chunk of the body; empty once the body is complete. Throws the errors of
     * {@link #awaitHead}.
     */
    Optional<byte[]> awaitChunk(Deadline deadline);

    /** Aborts the exchange from another task and wakes the task that reads it. */
    void abort();

    /** Ends the exchange; the back end cancels the request if it is still running. */
    @Override
    void close();
}
