package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.WorkUpdate;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Records the work of this instance and sends it to the other instances at once, with one task per
 * peer. Updates for a slow peer are dropped while its queue is full: the peer's load estimates
 * become less exact, but no request waits for the peer.
 */
public final class PeerWorkNotifier implements WorkNotifier {
    private static final Logger LOGGER = Logger.getLogger(PeerWorkNotifier.class);

    /** Queue length per peer; the updates of one second in the largest planned fleet. */
    private static final int MAX_QUEUED_UPDATES = 512;

    /** Timeout of sending an update; after it, newer updates are worth more than this one. */
    private static final Duration SEND_TIMEOUT = Duration.ofMillis(500);

    /**
     * Maximum delay of end updates, to batch them with the next placement; answers take seconds.
     */
    private static final Duration MAX_BATCH_DELAY = Duration.ofMillis(400);

    private static final class PeerSender {
        private final BlockingQueue<WorkUpdate> mUpdates =
                new ArrayBlockingQueue<>(MAX_QUEUED_UPDATES);
        private final Thread mTask;

        private PeerSender(java.util.function.Consumer<BlockingQueue<WorkUpdate>> body) {
            mTask = Tasks.start("tell-work", () -> body.accept(mUpdates));
        }
    }

    private final WorkTracker mTracker;
    private final MemberTable mMembers;
    private final PeerNetwork mPeers;
    private final TimeSource mTime;
    private final Map<String, PeerSender> mSenders = new ConcurrentHashMap<>();

    public PeerWorkNotifier(
            WorkTracker tracker, MemberTable members, PeerNetwork peers, TimeSource time) {
        mTracker = tracker;
        mMembers = members;
        mPeers = peers;
        mTime = time;
    }

    /** Registers the handler for work updates from other instances. */
    public void registerHandler() {
        mPeers.registerHandler(
                PeerMessage.WorkUpdates.class,
                batch -> {
                    batch.updates().forEach(this::apply);
                    return new PeerMessage.Received();
                });
    }

    private void apply(WorkUpdate update) {
        switch (update) {
            case WorkUpdate.Placed placed -> mTracker.placed(placed.work());
            case WorkUpdate.Decoding started -> mTracker.decodeStarted(started.attemptId());
            case WorkUpdate.Ended ended -> mTracker.ended(ended.attemptId());
        }
    }

    @Override
    public void placed(EngineWork work) {
        publish(new WorkUpdate.Placed(work));
    }

    /** Recorded locally only: peers predict the first event from the placement. */
    @Override
    public void decodeStarted(String attemptId) {
        apply(new WorkUpdate.Decoding(attemptId));
    }

    @Override
    public void ended(String attemptId) {
        publish(new WorkUpdate.Ended(attemptId));
    }

    private void publish(WorkUpdate update) {
        apply(update);
        Set<String> peers =
                mMembers.aliveMembers().stream()
                        .filter(each -> !each.id().equals(mMembers.self().id()))
                        .map(Member::peerAddress)
                        .collect(Collectors.toSet());
        for (String peerAddress : peers) {
            PeerSender sender =
                    mSenders.computeIfAbsent(
                            peerAddress,
                            address -> new PeerSender(updates -> sendBatches(address, updates)));
            if (!sender.mUpdates.offer(update)) {
                LOGGER.debugf(
                        "queue for peer %s is full; dropped the work update of request %s",
                        peerAddress, update.attemptId());
            }
        }
        mSenders.keySet().stream()
                .filter(peerAddress -> !peers.contains(peerAddress))
                .forEach(this::stopSender);
    }

    private void stopSender(String peerAddress) {
        PeerSender sender = mSenders.remove(peerAddress);
        if (sender != null) {
            sender.mTask.interrupt();
        }
    }

    /** Body of the task of one peer. */
    private void sendBatches(String peerAddress, BlockingQueue<WorkUpdate> updates) {
        List<WorkUpdate> batch = new ArrayList<>();
        while (!Thread.currentThread().isInterrupted()) {
            batch.clear();
            try {
                awaitBatch(updates, batch);
                mPeers.send(
                        peerAddress,
                        new PeerMessage.WorkUpdates(List.copyOf(batch)),
                        Deadline.after(mTime, SEND_TIMEOUT));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (RattanportException e) {
                LOGGER.debugf(
                        "cannot send a work update to peer %s: %s", peerAddress, e.getMessage());
                suspect(peerAddress);
            }
        }
    }

    /** Updates are sent far more often than probes, so they detect an unreachable peer first. */
    private void suspect(String peerAddress) {
        mMembers.aliveMembers().stream()
                .filter(each -> each.peerAddress().equals(peerAddress))
                .forEach(each -> mMembers.markState(each.id(), MemberState.SUSPECT));
    }

    /**
     * Waits for updates and drains the queue; end updates alone wait for the next placement, up to
     * the maximum delay.
     */
    private static void awaitBatch(BlockingQueue<WorkUpdate> updates, List<WorkUpdate> batch)
            throws InterruptedException {
        batch.add(updates.take());
        updates.drainTo(batch);
        while (batch.stream().noneMatch(WorkUpdate.Placed.class::isInstance)) {
            WorkUpdate next = updates.poll(MAX_BATCH_DELAY.toMillis(), TimeUnit.MILLISECONDS);
            if (next == null) {
                return;
            }
            batch.add(next);
            updates.drainTo(batch);
        }
    }

    /** Ends the tasks of all peers. */
    public void close() {
        Set.copyOf(mSenders.keySet()).forEach(this::stopSender);
    }
}
