package org.rattanport.kernel.gateway;

import org.rattanport.kernel.task.Cancellation;

/**
 * One caller's request that has no response yet. Only the task of the caller's connection uses it.
 */
public interface CallerExchange {
    /** Cancellation that fires when the caller disconnects. */
    Cancellation disconnectSignal();

    /** Cancellation that fires when this instance stops and the request has to end. */
    Cancellation cutSignal();

    /**
     * Sends the status and headers, at most once. The length is present only if the whole body is
     * available.
     */
    ResponseWriter startResponse(ResponseHead head, java.util.OptionalInt length);
}
