package org.rattanport.kernel.gateway;

import org.rattanport.kernel.time.Deadline;

/** Sends requests to back ends. */
public interface BackEndClient {
    /**
     * Connects and sends the request.
     *
     * @throws org.rattanport.kernel.error.RattanportException {@code TARGET_FAILED} with the
     *     verdict {@code NOT_RUN} when there is no connection before the deadline
     */
    BackEndExchange send(Attempt attempt, Deadline connectDeadline);
}
