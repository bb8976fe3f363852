package org.rattanport.kernel.gateway;

import org.rattanport.kernel.time.Deadline;

/** Sends requests to back ends. */
public interface BackEndClient {
    /**
     * Connects to the back end and sends the request of the attempt.
     *
     * @param beforeWriting called once connected; throws if the request may not be sent any more
     * @throws org.rattanport.kernel.error.RattanportException {@code TARGET_FAILED} with the
     *     verdict {@code NOT_RUN} when no connection is established before the deadline
     */
    BackEndExchange send(Attempt attempt, Deadline connectDeadline, Runnable beforeWriting);
}
