package org.rattanport.kernel.gateway;

import org.rattanport.kernel.task.Cancellation;

/**
 * Writes the response to one caller's request. Only the task of the caller's connection uses it.
 */
public interface CallerExchange {
    /** Cancellation that fires when the caller disconnects. */
    Cancellation disconnectSignal();

    /** Cancellation that fires when this instance stops and the request has to end. */
    Cancellation cutSignal();

    /** Sends the status and headers. The length is present only if the whole body is available. */
    void startResponse(ResponseHead head, java.util.OptionalInt length);

    /** Sends a chunk of the body; blocks while the caller does not read. */
    void write(byte[] chunk);

    /** Completes the response. */
    void finish();

    /** Closes the connection in a way that shows the caller that the response is truncated. */
    void abort();
}
