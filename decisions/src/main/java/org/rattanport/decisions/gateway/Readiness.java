package org.rattanport.decisions.gateway;

import java.util.function.BooleanSupplier;
import org.jboss.logging.Logger;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.peer.MemberState;

/**
 * Whether this instance can serve: it knows a document and the back ends, and is not on its way
 * out. The others name it to callers only from then on.
 */
public final class Readiness {
    private static final Logger LOGGER = Logger.getLogger(Readiness.class);

    private final RoutingInForce mRouting;
    private final BackEndRegistry mRegistry;
    private final MemberTable mMembers;
    private final BooleanSupplier mIsLeaving;
    private boolean mIsAnnounced;

    Readiness(
            RoutingInForce routing,
            BackEndRegistry registry,
            MemberTable members,
            BooleanSupplier isLeaving) {
        mRouting = routing;
        mRegistry = registry;
        mMembers = members;
        mIsLeaving = isLeaving;
    }

    /** Announces this instance once it can serve. */
    synchronized void update() {
        if (!mIsAnnounced && !mIsLeaving.getAsBoolean() && hasRequiredState()) {
            mIsAnnounced = true;
            mMembers.announce(MemberState.ALIVE);
            LOGGER.info(LogLine.of("instance-ready").with("document", mRouting.version()));
        }
    }

    public synchronized boolean isReady() {
        return mIsAnnounced && !mIsLeaving.getAsBoolean();
    }

    private boolean hasRequiredState() {
        return mRouting.current().isPresent() && mRegistry.isInitialized();
    }
}
