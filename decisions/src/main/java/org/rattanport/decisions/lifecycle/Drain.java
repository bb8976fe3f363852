package org.rattanport.decisions.lifecycle;

import java.time.Duration;
import org.jboss.logging.Logger;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Stops an instance without cutting a request: it leaves the address answers first, serves until
 * the last answer that names it has run out, then lets what is in flight end.
 */
public final class Drain {
    private static final Logger LOGGER = Logger.getLogger(Drain.class);

    private final MemberTable mMembers;
    private final InFlight mInFlight;
    private final Duration mAddressTimeToLive;
    private final TimeSource mTime;
    private volatile boolean mIsDraining;

    public Drain(
            MemberTable members, InFlight inFlight, Duration addressTimeToLive, TimeSource time) {
        mMembers = members;
        mInFlight = inFlight;
        mAddressTimeToLive = addressTimeToLive;
        mTime = time;
    }

    /** Whether the instance is on its way out and should not be named to callers. */
    public boolean isDraining() {
        return mIsDraining;
    }

    /** Drains; returns whether everything in flight ended before the deadline. */
    public boolean drain(Deadline deadline) {
        mIsDraining = true;
        mMembers.announce(MemberState.LEAVING);
        LOGGER.info(
                LogLine.of("instance-leaving")
                        .with("addresses_kept", mAddressTimeToLive)
                        .with("in_flight", mInFlight.count()));
        Duration remaining = deadline.remaining(mTime);
        mTime.sleep(mAddressTimeToLive.compareTo(remaining) < 0 ? mAddressTimeToLive : remaining);
        mInFlight.close();
        boolean isClean = mInFlight.awaitNone(deadline);
        if (!isClean) {
            LOGGER.warn(LogLine.of("requests-cut-at-stop").with("requests", mInFlight.count()));
        }
        return isClean;
    }
}
