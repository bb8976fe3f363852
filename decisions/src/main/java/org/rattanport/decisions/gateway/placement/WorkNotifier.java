package org.rattanport.decisions.gateway.placement;

import java.time.Duration;

/**
 * Receives the progress of this instance's prompts at engines, for the load estimates by which
 * later prompts are placed.
 */
public interface WorkNotifier {
    /** The request is written to its decode engine. */
    void written(String attemptId);

    /**
     * Events of the request arrived.
     *
     * @param events number of events that were complete at once
     * @param waitStartNanos when this instance began to wait for them
     */
    void eventsArrived(String attemptId, int events, long waitStartNanos);

    /** The first event of the request arrived. */
    void decodeStarted(String attemptId);

    /** The request ended at its engines. */
    void ended(String attemptId);

    /** The engine failed the request; the weight is that in the health of the engine. */
    void engineFailed(String attemptId, String engineId, double weight);

    /** Predicts how long the engine of the request still prefills. */
    Duration remainingPrefill(String attemptId, String engineId);
}
