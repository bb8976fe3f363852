package org.rattanport.decisions.gateway.discovery;

import java.time.Duration;
import java.util.Random;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.gateway.FleetSource;
import org.rattanport.kernel.gateway.FleetSource.HistoryLostException;
import org.rattanport.kernel.gateway.FleetSource.OperatorChange;
import org.rattanport.kernel.gateway.FleetSource.RegistryChange;
import org.rattanport.kernel.gateway.StorePart;
import org.rattanport.kernel.gateway.StorePosition;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Follows the store while this instance has the role of a reader, with one task for the operator's
 * table and one for the back-end registry. Each task reads in full, then waits for changes, and
 * reads in full again when the history has a gap or the store was unavailable. A read without a
 * response is repeated at once, as only its connection may be broken.
 */
public final class FleetFollower {
    private static final Logger LOGGER = Logger.getLogger(FleetFollower.class);

    /**
     * Maximum duration of one long poll for changes. A connection may fall silent while others
     * work, so this and the client's margin stay within the time in which changes must become
     * active.
     */
    private static final Duration MAX_LONG_POLL = Duration.ofSeconds(1);

    /** Timeout of a full read; a healthy store responds within a few milliseconds. */
    private static final Duration READ_TIMEOUT = Duration.ofMillis(900);

    /** Delay of a full read that follows another one, whose history was lost at once. */
    private static final Duration HISTORY_RETRY_DELAY = Duration.ofMillis(100);

    /** Delay that batches the next changes of the registry into one read, to save calls. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(300);

    private final FleetSource mSource;
    private final FleetState mState;
    private final ReaderRole mRole;
    private final TimeSource mTime;
    private final Random mRandom;
    private final Dependency mDocumentStore = new Dependency("store of the document");
    private final Dependency mRegistryStore = new Dependency("store of the register");

    public FleetFollower(
            FleetSource source, FleetState state, ReaderRole role, TimeSource time, Random random) {
        mSource = source;
        mState = state;
        mRole = role;
        mTime = time;
        mRandom = random;
    }

    public void close() {
        mRole.close();
    }

    /** Body of the task that follows the routing document and the evacuations. */
    public void followDocument() {
        followWithRetries(StorePart.DOCUMENT, mDocumentStore, this::followDocumentUntilGap);
    }

    /** Body of the task that follows the registry. */
    public void followRegistry() {
        followWithRetries(StorePart.REGISTRY, mRegistryStore, this::followRegistryUntilGap);
    }

    private void followWithRetries(StorePart part, Dependency dependency, Runnable followUntilGap) {
        long historyLostNanos = mTime.nanoTime() - HISTORY_RETRY_DELAY.toNanos();
        while (!mRole.isClosed()) {
            try {
                mRole.awaitReading();
                followUntilGap.run();
            } catch (HistoryLostException e) {
                LOGGER.info(LogLine.of("store-history-lost").with("reason", e.getMessage()));
                long sinceLastNanos = mTime.nanoTime() - historyLostNanos;
                if (sinceLastNanos < HISTORY_RETRY_DELAY.toNanos()) {
                    mTime.sleep(withJitter(HISTORY_RETRY_DELAY));
                }
                historyLostNanos = mTime.nanoTime();
                continue;
            } catch (RattanportException e) {
                if (mRole.isClosed()) {
                    return;
                }
                boolean isFirstFailure = dependency.recordFailure();
                if (isFirstFailure && e.code() != ErrorCode.STORE_UNAVAILABLE) {
                    LOGGER.info(
                            LogLine.of("store-read-again")
                                    .with("part", part.wireName())
                                    .with("reason", e.getMessage()));
                    continue;
                }
                dependency.markLost(String.valueOf(e.getMessage()));
                mState.recordOutage();
            } catch (RuntimeException e) {
                LOGGER.error("unexpected error while following the store; retrying", e);
            }
            mState.setAvailable(part, false);
            if (!mRole.isClosed() && mRole.isReading()) {
                mTime.sleep(withJitter(mRole.retryDelay()));
            }
        }
    }

    /** Adds up to the same duration again, so that instances do not retry together. */
    private Duration withJitter(Duration delay) {
        return delay.plusNanos((long) (mRandom.nextDouble() * delay.toNanos()));
    }

    private boolean isActive() {
        return !mRole.isClosed() && mRole.isReading();
    }

    private void markAvailable(StorePart part, Dependency dependency) {
        dependency.markAvailable();
        mState.recordResponse(part);
        mState.setAvailable(part, true);
    }

    private void followDocumentUntilGap() {
        OperatorChange change = mSource.readOperatorTable(Deadline.after(mTime, READ_TIMEOUT));
        while (isActive()) {
            markAvailable(StorePart.DOCUMENT, mDocumentStore);
            mState.recordOperatorChange(change);
            change = mSource.awaitOperatorChange(change.position(), MAX_LONG_POLL);
        }
    }

    private void followRegistryUntilGap() {
        RegistryChange snapshot = mSource.readRegistry(Deadline.after(mTime, READ_TIMEOUT));
        markAvailable(StorePart.REGISTRY, mRegistryStore);
        mState.recordFullRead(snapshot, mState.hadOutage());
        StorePosition position = snapshot.position();
        while (isActive()) {
            RegistryChange change = mSource.awaitRegistryChange(position, MAX_LONG_POLL);
            mState.recordResponse(StorePart.REGISTRY);
            mState.recordChange(change, false);
            position = change.position();
            mTime.sleep(BATCH_DELAY);
        }
    }
}
