package org.rattanport.kernel.environment;

import io.reactivex.rxjava3.core.Flowable;
import java.util.Optional;

/** The document that this instance acts on, by stage. Versions only rise. */
public interface EnvironmentInForce {
    Optional<ActiveEnvironment> current(Stage stage);

    /** Version in force, or zero when none is known. */
    default long version(Stage stage) {
        return current(stage).map(active -> active.version().version()).orElse(0L);
    }

    /** Takes a version when it is newer than the one in force; returns whether it did. */
    boolean offer(DocumentVersion version);

    /** The documents that come into force from now on. */
    Flowable<ActiveEnvironment> changes();
}
