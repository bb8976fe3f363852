package org.rattanport.kernel.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.rattanport.kernel.time.Deadline;

/** Source of the routing document and of the registry of back ends. */
public interface FleetSource {
    /**
     * A value as of a version of the store.
     *
     * @param position position from which to wait for later changes
     * @param value the value, or empty if the store has none
     */
    record Versioned<T>(StorePosition position, Optional<T> value) {}

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

    /** Reads the latest document. */
    Versioned<SourcedDocument> readDocument(Deadline deadline);

    /** Waits for a document that was written after the position; empty on timeout. */
    Versioned<SourcedDocument> awaitDocument(StorePosition after, Duration maxWait);

    /** Parses the bytes of a document that another instance passed on. */
    RoutingDocument parseDocument(byte[] source);

    /** Reads the entries of all back ends. */
    RegistryChange readRegistry(Deadline deadline);

    /** Waits for changes of the registry after the position. */
    RegistryChange awaitRegistryChange(StorePosition after, Duration maxWait);
}
