package org.rattanport.kernel.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.rattanport.kernel.time.Deadline;

/** Where the routing document and the register of back ends are kept. */
public interface FleetSource {
    /**
     * What was read.
     *
     * @param version position in the history from which to go on
     * @param value what stands there, empty where nothing does
     */
    record Reading<T>(long version, Optional<T> value) {}

    /**
     * Changes of the register.
     *
     * @param version position in the history from which to go on
     * @param present back ends that are new or changed
     * @param removed ids of back ends that are gone
     */
    record RegisterChange(long version, List<BackEnd> present, List<String> removed) {}

    /** Thrown when the history from the asked position on is not kept any more. */
    final class HistoryLost extends RuntimeException {
        private static final long serialVersionUID = 1L;

        public HistoryLost() {
            super("the history is not kept from that position on");
        }
    }

    /** Reads the newest document. */
    Reading<RoutingDocument> readDocument(Deadline deadline);

    /** Waits until the document is newer than the position; empty when it is not in that time. */
    Reading<RoutingDocument> awaitDocument(long after, Duration longestWait);

    /** Reads all back ends. */
    RegisterChange readRegister(Deadline deadline);

    /** Waits for changes of the register after the position. */
    RegisterChange awaitRegister(long after, Duration longestWait);
}
