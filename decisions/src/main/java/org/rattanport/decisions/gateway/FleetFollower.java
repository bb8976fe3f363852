package org.rattanport.decisions.gateway;

import java.time.Duration;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.gateway.FleetSource;
import org.rattanport.kernel.gateway.FleetSource.HistoryLost;
import org.rattanport.kernel.gateway.FleetSource.Reading;
import org.rattanport.kernel.gateway.FleetSource.RegisterChange;
import org.rattanport.kernel.gateway.RoutingDocument;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Follows the store: one task for the document and one for the register. Each reads in full first,
 * then waits for changes, and reads in full again whenever the history has a gap or the store was
 * away.
 */
public final class FleetFollower {
    private static final Logger LOGGER = Logger.getLogger(FleetFollower.class);

    /** Longest time that one question to the store waits for a change; the store's own limit. */
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(30);

    /** Time for one read; a healthy store answers within a few milliseconds. */
    private static final Duration READ_TIMEOUT = Duration.ofMillis(900);

    /** Pause after a failed read; well inside the time in which changes must be in force. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(400);

    /** Changes of the register within this time are read together, to save calls. */
    private static final Duration GATHER_PAUSE = Duration.ofMillis(300);

    private final FleetSource mSource;
    private final RoutingInForce mRouting;
    private final BackEndRegister mRegister;
    private final Runnable mOnNews;
    private final TimeSource mTime;
    private final Dependency mDocumentStore = new Dependency("store of the document");
    private final Dependency mRegisterStore = new Dependency("store of the register");
    private volatile boolean mIsClosed;
    private boolean mWasRegisterAway;

    public FleetFollower(
            FleetSource source,
            RoutingInForce routing,
            BackEndRegister register,
            Runnable onNews,
            TimeSource time) {
        mSource = source;
        mRouting = routing;
        mRegister = register;
        mOnNews = onNews;
        mTime = time;
    }

    public void close() {
        mIsClosed = true;
    }

    /** Body of the task that follows the document. */
    public void followDocument() {
        follow(mDocumentStore, this::documentUntilGap);
    }

    /** Body of the task that follows the register. */
    public void followRegister() {
        follow(mRegisterStore, this::registerUntilGap);
    }

    private void follow(Dependency store, Runnable untilGap) {
        while (!mIsClosed) {
            try {
                untilGap.run();
            } catch (HistoryLost e) {
                LOGGER.info(LogLine.of("store-history-lost").with("reason", e.getMessage()));
                continue;
            } catch (RattanportException e) {
                store.lost(String.valueOf(e.getMessage()));
            } catch (RuntimeException e) {
                LOGGER.error("following the store failed and goes on", e);
            }
            if (!mIsClosed) {
                mTime.sleep(RETRY_PAUSE);
            }
        }
    }

    private void documentUntilGap() {
        Reading<RoutingDocument> reading =
                mSource.readDocument(Deadline.after(mTime, READ_TIMEOUT));
        while (!mIsClosed) {
            mDocumentStore.answered();
            reading.value().ifPresent(mRouting::offer);
            mOnNews.run();
            reading = mSource.awaitDocument(reading.version(), LONGEST_WAIT);
        }
    }

    private void registerUntilGap() {
        RegisterChange all = mSource.readRegister(Deadline.after(mTime, READ_TIMEOUT));
        mRegisterStore.answered();
        if (mWasRegisterAway) {
            mRegister.storeReturned();
        }
        mWasRegisterAway = true;
        mRegister.replace(all.present());
        mOnNews.run();
        long version = all.version();
        while (!mIsClosed) {
            RegisterChange change = awaitRegister(version);
            mRegister.apply(change.present(), change.removed());
            version = change.version();
            mTime.sleep(GATHER_PAUSE);
        }
    }

    private RegisterChange awaitRegister(long version) {
        try {
            return mSource.awaitRegister(version, LONGEST_WAIT);
        } catch (HistoryLost e) {
            // The store answers; what is missing in a full read now has not merely lapsed.
            mWasRegisterAway = false;
            throw e;
        }
    }
}
