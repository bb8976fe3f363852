package org.rattanport.decisions.gateway;

import java.util.function.BooleanSupplier;
import org.jboss.logging.Logger;
import org.rattanport.decisions.gateway.discovery.ActiveRouting;
import org.rattanport.decisions.gateway.discovery.BackEndRegistry;
import org.rattanport.decisions.gateway.discovery.EvacuatedDataCentres;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.peer.MemberState;

/**
 * Whether this instance can serve: it has a routing document, the back-end registry and the
 * evacuations, and is not draining. Other instances list it to callers only after its announcement.
 */
public final class Readiness {
    private static final Logger LOGGER = Logger.getLogger(Readiness.class);

    private final ActiveRouting mRouting;
    private final BackEndRegistry mRegistry;
    private final EvacuatedDataCentres mEvacuated;
    private final MemberTable mMembers;
    private final BooleanSupplier mIsDraining;
    private boolean mIsAnnounced;

    Readiness(
            ActiveRouting routing,
            BackEndRegistry registry,
            EvacuatedDataCentres evacuated,
            MemberTable members,
            BooleanSupplier isDraining) {
        mRouting = routing;
        mRegistry = registry;
        mEvacuated = evacuated;
        mMembers = members;
        mIsDraining = isDraining;
    }

    /** Announces this instance to the cluster once it can serve. */
    synchronized void update() {
        if (!mIsAnnounced && !mIsDraining.getAsBoolean() && hasRequiredState()) {
            mIsAnnounced = true;
            mMembers.announce(MemberState.ALIVE);
            LOGGER.info(LogLine.of("instance-ready").with("document", mRouting.version()));
        }
    }

    public synchronized boolean isReady() {
        return mIsAnnounced && !mIsDraining.getAsBoolean();
    }

    private boolean hasRequiredState() {
        return mRouting.current().isPresent() && mRegistry.isInitialized() && mEvacuated.isKnown();
    }
}
