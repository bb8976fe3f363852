package org.rattanport.kernel.gateway;

/**
 * A response that has started at the caller: it can only go on, be completed or be aborted. Only
 * the task of the caller's connection uses it.
 */
public interface ResponseWriter {
    /** Sends a chunk of the body; blocks while the caller does not read. */
    void write(byte[] chunk);

    /** Completes the response. */
    void finish();

    /** Closes the connection in a way that shows the caller that the response is truncated. */
    void abort();
}
