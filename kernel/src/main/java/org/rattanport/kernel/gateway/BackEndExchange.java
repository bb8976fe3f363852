package org.rattanport.kernel.gateway;

import java.util.Optional;
import org.rattanport.kernel.time.Deadline;

/** One request on its way at a back end, read by one task. */
public interface BackEndExchange extends AutoCloseable {
    /**
     * Waits for the status and headers of the answer.
     *
     * @throws org.rattanport.kernel.error.RattanportException {@code TARGET_FAILED} when the
     *     connection ends first, {@code DEADLINE_EXCEEDED} when the time does, {@code CANCELLED}
     *     after {@link #abort}
     */
    AnswerHead head(Deadline deadline);

    /** Waits for the next piece of the body; empty at its complete end. Throws as {@link #head}. */
    Optional<byte[]> next(Deadline deadline);

    /** Ends the exchange from another task and wakes the one that reads. */
    void abort();

    /** Ends the exchange; the back end drops what it still works on. */
    @Override
    void close();
}
