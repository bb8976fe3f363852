package org.rattanport.decisions.lifecycle;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jboss.logging.Logger;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Drains an instance before it stops, so that no request is cut. The instance announces that it is
 * leaving, which removes it from new address responses. It keeps serving until the time to live of
 * earlier address responses has passed, then refuses new requests and waits for those in flight,
 * and until no more come. Then it closes its intakes, so that none is taken in while it stops.
 * Requests that outlive the drain get an error, or a reset inside their response.
 */
public final class Drain {
    private static final Logger LOGGER = Logger.getLogger(Drain.class);

    /**
     * Time that cut requests have to send their last response, and least time that requests have
     * which the intakes had read when they closed.
     */
    private static final Duration CUT_TIMEOUT = Duration.ofMillis(200);

    /**
     * Time without a new request after which none is left that was sent before the refusals began.
     * It is waited in parts, because a process that was paused finds one wait over before it has
     * read what arrived meanwhile.
     */
    private static final Duration QUIET_INTERVAL = Duration.ofMillis(50);

    private static final int QUIET_INTERVALS = 4;

    /** A wait that lasts longer has met a pause, and what arrived meanwhile may be unread. */
    private static final Duration MAX_QUIET_INTERVAL = QUIET_INTERVAL.multipliedBy(2);

    private final MemberTable mMembers;
    private final InFlightRequests mInFlight;
    private final Duration mAddressTimeToLive;
    private final TimeSource mTime;
    private final List<Intake> mIntakes = new CopyOnWriteArrayList<>();
    private volatile boolean mIsDraining;

    public Drain(
            MemberTable members,
            InFlightRequests inFlight,
            Duration addressTimeToLive,
            TimeSource time) {
        mMembers = members;
        mInFlight = inFlight;
        mAddressTimeToLive = addressTimeToLive;
        mTime = time;
    }

    /** Registers an intake, which the drain closes once no more requests come. */
    public void register(Intake intake) {
        mIntakes.add(intake);
    }

    /** Whether the instance is draining, so that callers should no longer get its address. */
    public boolean isDraining() {
        return mIsDraining;
    }

    /** Drains the instance; returns whether all requests ended before the deadline. */
    public boolean drain(Deadline deadline) {
        return drain(deadline, Duration.ZERO);
    }

    /**
     * Drains the instance; returns whether all requests ended before the deadline.
     *
     * @param elapsed time since the stop was asked for, when the last addresses were given out
     */
    public boolean drain(Deadline deadline, Duration elapsed) {
        mIsDraining = true;
        mMembers.announce(MemberState.LEAVING);
        LOGGER.info(
                LogLine.of("instance-leaving")
                        .with("addresses_kept", mAddressTimeToLive)
                        .with("in_flight", mInFlight.count()));
        Deadline refusal = deadline.within(mTime, mAddressTimeToLive.minus(elapsed));
        mTime.sleep(refusal.remaining(mTime));
        mInFlight.refuseNew();
        if (awaitQuiet(deadline) && takeInNoMore(deadline)) {
            return true;
        }
        int requests = mInFlight.count();
        if (requests > 0) {
            LOGGER.warn(LogLine.of("requests-cut-at-stop").with("requests", requests));
        }
        mInFlight.cutAll();
        Deadline cutDeadline = Deadline.after(mTime, CUT_TIMEOUT);
        closeIntakes(cutDeadline);
        mInFlight.awaitEmpty(cutDeadline);
        return requests == 0;
    }

    /**
     * Closes the intakes and waits for what they had read, at least for a moment, because the drain
     * may have become quiet at the deadline. Returns whether all requests have ended.
     */
    private boolean takeInNoMore(Deadline deadline) {
        Duration remaining = deadline.remaining(mTime);
        Deadline closeDeadline =
                remaining.compareTo(CUT_TIMEOUT) < 0
                        ? Deadline.after(mTime, CUT_TIMEOUT)
                        : deadline;
        return closeIntakes(closeDeadline) && mInFlight.awaitEmpty(closeDeadline);
    }

    /** Closes every intake; returns whether all requests that they took in have ended. */
    private boolean closeIntakes(Deadline deadline) {
        boolean areClosed = true;
        for (Intake intake : mIntakes) {
            areClosed &= intake.close(deadline.remaining(mTime));
        }
        return areClosed;
    }

    /**
     * Waits until no request is in flight and none has come for a while; returns false when
     * requests are left at the deadline.
     */
    private boolean awaitQuiet(Deadline deadline) {
        int quietIntervals = 0;
        while (quietIntervals < QUIET_INTERVALS && !deadline.hasPassed(mTime)) {
            long seen = mInFlight.totalCount();
            if (!mInFlight.awaitEmpty(deadline)) {
                return false;
            }
            Deadline pause = Deadline.after(mTime, MAX_QUIET_INTERVAL);
            mTime.sleep(QUIET_INTERVAL);
            if (mInFlight.totalCount() != seen) {
                quietIntervals = 0;
            } else if (!pause.hasPassed(mTime)) {
                quietIntervals++;
            }
        }
        return mInFlight.awaitEmpty(deadline);
    }
}
