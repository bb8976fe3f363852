package org.rattanport.kernel.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.rattanport.kernel.time.Deadline;

/** Source of the routing document, the evacuations and the registry of back ends. */
public interface FleetSource {
    /**
     * Rows of the operator's table that exist, or that have changed.
     *
     * @param position position from which to wait for later changes
     * @param document the document, if it was read or has changed
     * @param evacuated data centres whose evacuation exists or was written
     * @param ended data centres whose evacuation was removed
     * @param isFull whether all rows were read, so that all other evacuations have ended
     */
    record OperatorChange(
            StorePosition position,
            Optional<SourcedDocument> document,
            Set<String> evacuated,
            Set<String> ended,
            boolean isFull) {}

    /**
     * Changes of the registry.
     *
     * @param position position from which to wait for later changes
     * @param present back ends that were added or changed
     * @param removed ids of back ends that were removed
     */
    record RegistryChange(StorePosition position, List<BackEnd> present, List<String> removed) {
        /**
         * Returns the change that leads to the last states.
         *
         * @param lastStates the entry of each changed back end; empty if it was removed
         */
        public static RegistryChange of(
                StorePosition position, Map<String, Optional<BackEnd>> lastStates) {
            List<BackEnd> present = new ArrayList<>();
            List<String> removed = new ArrayList<>();
            lastStates.forEach(
                    (id, entry) -> entry.ifPresentOrElse(present::add, () -> removed.add(id)));
            return new RegistryChange(position, present, removed);
        }
    }

    /** Thrown when the store no longer has the change history after the requested position. */
    final class HistoryLostException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        public HistoryLostException() {
            super("the store no longer has the change history after the requested position");
        }
    }

    /** Reads the latest document and all evacuations. */
    OperatorChange readOperatorTable(Deadline deadline);

    /** Waits for a document or an evacuation that was written after the position. */
    OperatorChange awaitOperatorChange(StorePosition after, Duration maxWait);

    /** Parses the bytes of a document that another instance passed on. */
    RoutingDocument parseDocument(byte[] source);

    /** Reads the entries of all back ends. */
    RegistryChange readRegistry(Deadline deadline);

    /** Waits for changes of the registry after the position. */
    RegistryChange awaitRegistryChange(StorePosition after, Duration maxWait);
}
