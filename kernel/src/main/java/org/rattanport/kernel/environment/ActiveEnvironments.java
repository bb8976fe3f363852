package org.rattanport.kernel.environment;

import io.reactivex.rxjava3.core.Flowable;
import java.util.Optional;

/** The active documents of this instance, by stage. The active version only ever increases. */
public interface ActiveEnvironments {
    Optional<ActiveEnvironment> current(Stage stage);

    /** Returns the active version, or 0 if there is none. */
    default long activeVersion(Stage stage) {
        return current(stage).map(active -> active.version().version()).orElse(0L);
    }

    /**
     * Activates the version if it is newer than the active one; returns whether it was activated.
     */
    boolean activateIfNewer(DocumentVersion version);

    /** Emits each document that becomes active after the subscription. */
    Flowable<ActiveEnvironment> changes();
}
