package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.Work;
import org.rattanport.kernel.gateway.WorkNotice;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.Membership;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Records the work of this instance and tells the others at once, with one task for each of them. A
 * peer that does not keep up misses news; its picture is then older, and nothing waits for it.
 */
public final class PeerNews implements WorkNews {
    private static final Logger LOGGER = Logger.getLogger(PeerNews.class);

    /** Notices that wait for one peer; a second of the busiest fleet that is planned for. */
    private static final int MOST_WAITING = 512;

    /** Time for a peer to take news; older news is worth less than the next. */
    private static final Duration TELL_TIMEOUT = Duration.ofMillis(500);

    private static final class Listener {
        private final BlockingQueue<WorkNotice> mNotices = new ArrayBlockingQueue<>(MOST_WAITING);
        private final Thread mTask;

        private Listener(java.util.function.Consumer<BlockingQueue<WorkNotice>> body) {
            mTask = Tasks.start("tell-work", () -> body.accept(mNotices));
        }
    }

    private final WorkBook mBook;
    private final Membership mMembership;
    private final PeerNetwork mPeers;
    private final TimeSource mTime;
    private final Map<String, Listener> mListeners = new ConcurrentHashMap<>();

    public PeerNews(WorkBook book, Membership membership, PeerNetwork peers, TimeSource time) {
        mBook = book;
        mMembership = membership;
        mPeers = peers;
        mTime = time;
    }

    /** Takes what other instances tell. */
    public void register() {
        mPeers.handle(
                PeerMessage.WorkNews.class,
                news -> {
                    news.notices().forEach(this::record);
                    return new PeerMessage.Received();
                });
    }

    private void record(WorkNotice notice) {
        switch (notice) {
            case WorkNotice.Placed placed -> mBook.placed(placed.work());
            case WorkNotice.Writes writes -> mBook.writes(writes.id());
            case WorkNotice.Ended ended -> mBook.ended(ended.id());
        }
    }

    @Override
    public void placed(Work work) {
        tell(new WorkNotice.Placed(work));
    }

    @Override
    public void writes(String id) {
        tell(new WorkNotice.Writes(id));
    }

    @Override
    public void ended(String id) {
        tell(new WorkNotice.Ended(id));
    }

    private void tell(WorkNotice notice) {
        record(notice);
        Set<String> peers =
                mMembership.aliveMembers().stream()
                        .filter(each -> !each.id().equals(mMembership.self().id()))
                        .map(Member::peerAddress)
                        .collect(Collectors.toSet());
        for (String peer : peers) {
            Listener listener =
                    mListeners.computeIfAbsent(
                            peer, address -> new Listener(notices -> run(address, notices)));
            if (!listener.mNotices.offer(notice)) {
                LOGGER.debugf("peer %s misses news of %s", peer, notice.id());
            }
        }
        mListeners.keySet().stream().filter(peer -> !peers.contains(peer)).forEach(this::forget);
    }

    private void forget(String peer) {
        Listener listener = mListeners.remove(peer);
        if (listener != null) {
            listener.mTask.interrupt();
        }
    }

    /** Body of the task of one peer. */
    private void run(String peer, BlockingQueue<WorkNotice> notices) {
        List<WorkNotice> news = new ArrayList<>();
        while (!Thread.currentThread().isInterrupted()) {
            news.clear();
            try {
                news.add(notices.take());
                notices.drainTo(news);
                mPeers.tell(
                        peer,
                        new PeerMessage.WorkNews(List.copyOf(news)),
                        Deadline.after(mTime, TELL_TIMEOUT));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (RattanportException e) {
                LOGGER.debugf("peer %s was not told of work: %s", peer, e.getMessage());
            }
        }
    }

    /** Ends the tasks of all peers. */
    public void close() {
        Set.copyOf(mListeners.keySet()).forEach(this::forget);
    }
}
