package org.rattanport.decisions.gateway.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.WorkUpdate;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Sends work updates to coordinators in batches, with one task for all of them. A request for a
 * placement takes the pending updates of its coordinator along. Updates that cannot be sent are
 * dropped: the coordinator's record of the work expires.
 */
public final class WorkUpdateSender implements AutoCloseable {
    private static final Logger LOGGER = Logger.getLogger(WorkUpdateSender.class);

    /** Delay of updates, to batch them; answers take seconds. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(100);

    /** Timeout of connecting to a coordinator. */
    private static final Duration SEND_TIMEOUT = Duration.ofMillis(200);

    /** Pending updates per coordinator; later ones are dropped. */
    private static final int MAX_PENDING = 512;

    private final PeerNetwork mPeers;
    private final TimeSource mTime;
    private final Map<String, List<WorkUpdate>> mPending = new HashMap<>();
    private final Thread mTask;

    public WorkUpdateSender(PeerNetwork peers, TimeSource time) {
        mPeers = peers;
        mTime = time;
        mTask = Tasks.start("send-work-updates", this::sendUntilClosed);
    }

    /** Queues an update for the coordinator. */
    synchronized void send(String address, WorkUpdate update) {
        List<WorkUpdate> pending = mPending.computeIfAbsent(address, key -> new ArrayList<>());
        if (pending.size() < MAX_PENDING) {
            pending.add(update);
        } else {
            LOGGER.debugf(
                    "too many pending updates for %s; dropped that of request %s",
                    address, update.attemptId());
        }
        notifyAll();
    }

    /** Takes the pending updates of the coordinator, to send them with another message. */
    synchronized List<WorkUpdate> takePending(String address) {
        List<WorkUpdate> pending = mPending.remove(address);
        return pending == null ? List.of() : pending;
    }

    private synchronized void awaitPending() throws InterruptedException {
        while (mPending.isEmpty()) {
            wait();
        }
    }

    private synchronized Map<String, List<WorkUpdate>> takeAll() {
        Map<String, List<WorkUpdate>> all = Map.copyOf(mPending);
        mPending.clear();
        return all;
    }

    private void sendUntilClosed() {
        while (!Thread.currentThread().isInterrupted()) {
            try {
                awaitPending();
                mTime.sleep(BATCH_DELAY);
                takeAll().forEach(this::sendBatch);
            } catch (InterruptedException e) {
                return;
            } catch (RattanportException e) {
                if (e.code() == ErrorCode.CANCELLED) {
                    return;
                }
                throw e;
            }
        }
    }

    private void sendBatch(String address, List<WorkUpdate> updates) {
        try {
            mPeers.send(
                    address,
                    new PeerMessage.WorkUpdates(updates),
                    Deadline.after(mTime, SEND_TIMEOUT));
        } catch (RattanportException e) {
            LOGGER.debugf(
                    "cannot send %d work updates to %s: %s",
                    updates.size(), address, e.getMessage());
        }
    }

    @Override
    public void close() {
        mTask.interrupt();
    }
}
