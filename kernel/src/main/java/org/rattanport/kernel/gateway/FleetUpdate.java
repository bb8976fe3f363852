package org.rattanport.kernel.gateway;

import java.util.Optional;
import org.rattanport.kernel.gateway.FleetSource.RegistryChange;

/**
 * What another instance has read from the store after the versions that this instance has.
 *
 * @param isStoreAvailable whether the store responds to the other instance
 * @param ages how old the knowledge of the other instance is
 * @param documentSource bytes of a newer routing document
 * @param registry newer entries of the back-end registry
 * @param evacuations all data centres that are evacuated, if that is newer
 */
public record FleetUpdate(
        boolean isStoreAvailable,
        Ages ages,
        Optional<byte[]> documentSource,
        Optional<RegistryUpdate> registry,
        Optional<EvacuationUpdate> evacuations) {
    /** Creates an update without evacuations. */
    public FleetUpdate(
            boolean isStoreAvailable,
            Ages ages,
            Optional<byte[]> documentSource,
            Optional<RegistryUpdate> registry) {
        this(isStoreAvailable, ages, documentSource, registry, Optional.empty());
    }

    /**
     * Ages of what an instance knows.
     *
     * @param storeMillis time since the store last responded
     * @param documentMillis time since the first instance read the document
     * @param registryMillis time since the first instance read the latest change of the registry
     */
    public record Ages(long storeMillis, long documentMillis, long registryMillis) {}

    /**
     * Newer entries of the registry.
     *
     * @param change the changes, or all back ends if the update is full
     * @param isFull whether back ends that are not present are gone
     * @param followsOutage whether registrations may have lapsed in an outage of the store
     */
    public record RegistryUpdate(RegistryChange change, boolean isFull, boolean followsOutage) {}

    /**
     * Newer evacuations.
     *
     * @param ageMillis time since the first instance read them
     */
    public record EvacuationUpdate(Evacuations evacuations, long ageMillis) {}

    /** Whether the update contains anything new. */
    public boolean isEmpty() {
        return documentSource.isEmpty() && registry.isEmpty() && evacuations.isEmpty();
    }
}
