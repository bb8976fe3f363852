package org.rattanport.decisions.gateway;

import java.time.Duration;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.gateway.FleetSource;
import org.rattanport.kernel.gateway.FleetSource.HistoryLostException;
import org.rattanport.kernel.gateway.FleetSource.RegistryChange;
import org.rattanport.kernel.gateway.FleetSource.Versioned;
import org.rattanport.kernel.gateway.RoutingDocument;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Follows the store with one task for the routing document and one for the back-end registry. Each
 * task reads in full, then waits for changes, and reads in full again when the history has a gap or
 * the store was unavailable.
 */
public final class FleetFollower {
    private static final Logger LOGGER = Logger.getLogger(FleetFollower.class);

    /** Maximum duration of one long poll for changes; the store has the same limit. */
    private static final Duration MAX_LONG_POLL = Duration.ofSeconds(30);

    /** Timeout of a full read; a healthy store responds within a few milliseconds. */
    private static final Duration READ_TIMEOUT = Duration.ofMillis(900);

    /** Delay after a failed read; well below the time in which changes must become active. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(400);

    /** Delay that batches the next changes of the registry into one read, to save calls. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(300);

    private final FleetSource mSource;
    private final ActiveRouting mRouting;
    private final BackEndRegistry mRegistry;
    private final Runnable mOnUpdate;
    private final TimeSource mTime;
    private final Dependency mDocumentStore = new Dependency("store of the document");
    private final Dependency mRegistryStore = new Dependency("store of the register");
    private volatile boolean mIsClosed;

    /** Whether the next full read follows an outage, in which registrations may have lapsed. */
    private boolean mIsNextReadRecovery;

    public FleetFollower(
            FleetSource source,
            ActiveRouting routing,
            BackEndRegistry registry,
            Runnable onUpdate,
            TimeSource time) {
        mSource = source;
        mRouting = routing;
        mRegistry = registry;
        mOnUpdate = onUpdate;
        mTime = time;
    }

    public void close() {
        mIsClosed = true;
    }

    /** Body of the task that follows the routing document. */
    public void followDocument() {
        followWithRetries(mDocumentStore, this::followDocumentUntilGap);
    }

    /** Body of the task that follows the registry. */
    public void followRegistry() {
        followWithRetries(mRegistryStore, this::followRegistryUntilGap);
    }

    private void followWithRetries(Dependency dependency, Runnable followUntilGap) {
        while (!mIsClosed) {
            try {
                followUntilGap.run();
            } catch (HistoryLostException e) {
                LOGGER.info(LogLine.of("store-history-lost").with("reason", e.getMessage()));
                continue;
            } catch (RattanportException e) {
                dependency.markLost(String.valueOf(e.getMessage()));
            } catch (RuntimeException e) {
                LOGGER.error("unexpected error while following the store; retrying", e);
            }
            if (!mIsClosed) {
                mTime.sleep(RETRY_DELAY);
            }
        }
    }

    private void followDocumentUntilGap() {
        Versioned<RoutingDocument> reading =
                mSource.readDocument(Deadline.after(mTime, READ_TIMEOUT));
        while (!mIsClosed) {
            mDocumentStore.markAvailable();
            reading.value().ifPresent(mRouting::activateIfNewer);
            mOnUpdate.run();
            reading = mSource.awaitDocument(reading.version(), MAX_LONG_POLL);
        }
    }

    private void followRegistryUntilGap() {
        RegistryChange snapshot = mSource.readRegistry(Deadline.after(mTime, READ_TIMEOUT));
        mRegistryStore.markAvailable();
        if (mIsNextReadRecovery) {
            mRegistry.recordStoreRecovery();
        }
        mIsNextReadRecovery = true;
        mRegistry.replace(snapshot.present());
        mOnUpdate.run();
        long version = snapshot.version();
        while (!mIsClosed) {
            RegistryChange change = awaitRegistryChange(version);
            mRegistry.apply(change.present(), change.removed());
            version = change.version();
            mTime.sleep(BATCH_DELAY);
        }
    }

    private RegistryChange awaitRegistryChange(long version) {
        try {
            return mSource.awaitRegistryChange(version, MAX_LONG_POLL);
        } catch (HistoryLostException e) {
            // The store responds, so back ends that the next full read lacks did not lapse in an
            // outage.
            mIsNextReadRecovery = false;
            throw e;
        }
    }
}
