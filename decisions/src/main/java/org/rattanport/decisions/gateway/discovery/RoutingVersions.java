package org.rattanport.decisions.gateway.discovery;

import io.reactivex.rxjava3.core.Flowable;
import java.util.Optional;
import org.rattanport.kernel.environment.ActiveEnvironment;
import org.rattanport.kernel.environment.ActiveEnvironments;
import org.rattanport.kernel.environment.DocumentVersion;
import org.rattanport.kernel.environment.Stage;

/**
 * Provides gossip with the version of the routing document; documents themselves come from the
 * store.
 */
public final class RoutingVersions implements ActiveEnvironments {
    private final ActiveRouting mRouting;

    public RoutingVersions(ActiveRouting routing) {
        mRouting = routing;
    }

    @Override
    public Optional<ActiveEnvironment> current(Stage stage) {
        return Optional.empty();
    }

    @Override
    public long activeVersion(Stage stage) {
        return stage == Stage.PRODUCTION ? mRouting.version() : 0;
    }

    @Override
    public boolean activateIfNewer(DocumentVersion version) {
        return false;
    }

    @Override
    public Flowable<ActiveEnvironment> changes() {
        return Flowable.never();
    }
}
