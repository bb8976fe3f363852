package org.rattanport.decisions.gateway.relay;

import java.util.Optional;
import org.rattanport.kernel.gateway.BackEndExchange;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.time.Deadline;

/** Relays a back end's response to the caller. */
public interface ResponseRelay {
    /**
     * Reads the whole body and writes it to the caller. After a failure, the relay may be called
     * again with the response of another back end that resumes the stream.
     *
     * @throws org.rattanport.kernel.error.RattanportException when the response of the back end
     *     breaks off
     */
    void relay(ResponseHead head, BackEndExchange exchange, Deadline deadline);

    /** Whether a part of the response was written to the caller. */
    boolean hasStarted();

    /**
     * The relay that may take the response of another back end after this one has failed; empty
     * when the caller has a part of a response that no other can continue.
     */
    Optional<ResponseRelay> continuation();

    /** Shows the caller that its response is truncated, if one has started. */
    void abort();

    /** The id of the last event that the caller has, if the response is an event stream. */
    Optional<String> lastEventId();
}
