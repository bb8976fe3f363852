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
     * @param version version from which to wait for later changes
     * @param value the value, or empty if the store has none
     */
    record Versioned<T>(long version, Optional<T> value) {}

    /**
     * Changes of the registry.
     *
     * @param version version from which to wait for later changes
     * @param present back ends that were added or changed
     * @param removed ids of back ends that were removed
     */
    record RegistryChange(long version, List<BackEnd> present, List<String> removed) {
        /**
         * Returns the change that leads to the last states.
         *
         * @param lastStates the entry of each changed back end; empty if it was removed
         */
        public static RegistryChange of(long version, Map<String, Optional<BackEnd>> lastStates) {
            List<BackEnd> present = new ArrayList<>();
            List<String> removed = new ArrayList<>();
            lastStates.forEach(
                    (id, entry) -> entry.ifPresentOrElse(present::add, () -> removed.add(id)));
            return new RegistryChange(version, present, removed);
        }
    }

    /** Thrown when the store no longer has the change history after the requested version. */
    final class HistoryLostException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        public HistoryLostException() {
            super("the store no longer has the change history after the requested version");
        }
    }

    /** Reads the latest document. */
    Versioned<SourcedDocument> readDocument(Deadline deadline);

    /** Waits for a document that is newer than the version; the value is empty on timeout. */
    Versioned<SourcedDocument> awaitDocument(long after, Duration maxWait);

    /** Parses the bytes of a document that another instance passed on. */
    RoutingDocument parseDocument(byte[] source);

    /** Reads the entries of all back ends. */
    RegistryChange readRegistry(Deadline deadline);

    /** Waits for changes of the registry after the version. */
    RegistryChange awaitRegistryChange(long after, Duration maxWait);
}
