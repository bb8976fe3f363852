package org.rattanport.decisions.gateway;

import org.rattanport.kernel.gateway.AnswerHead;
import org.rattanport.kernel.gateway.BackEndExchange;
import org.rattanport.kernel.time.Deadline;

/** Passes a back end's answer on to the caller. */
public interface ResponseRelay {
    /**
     * Reads the body and writes it to the caller, to its end. May be called again with the answer
     * of another back end that goes on where the first one broke off.
     *
     * @throws org.rattanport.kernel.error.RattanportException when the back end breaks off
     */
    void relay(AnswerHead head, BackEndExchange exchange, Deadline deadline);

    /** Whether anything was written to the caller. */
    boolean hasStarted();

    /** The last event that the caller has, where the answer is a stream of events. */
    java.util.Optional<String> lastEventId();
}
