package org.rattanport.decisions.gateway.relay;

/** Receives when events of a back end arrive, before they are written to the caller. */
public interface ArrivalListener {
    /**
     * Events arrived now.
     *
     * @param events number of events that were complete at once
     * @param waitStartNanos when the wait for them began
     */
    void eventsArrived(int events, long waitStartNanos);
}
