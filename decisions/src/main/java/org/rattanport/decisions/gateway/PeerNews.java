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
import org.rattanport.kernel.gateway.Work;
import org.rattanport.kernel.gateway.WorkNotice;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
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

    /** Time that news of an end may wait; answers take seconds. */
    private static final Duration LONGEST_GATHERING = Duration.ofMillis(400);

    private static final class Listener {
        private final BlockingQueue<WorkNotice> mNotices = new ArrayBlockingQueue<>(MOST_WAITING);
        private final Thread mTask;

        private Listener(java.util.function.Consumer<BlockingQueue<WorkNotice>> body) {
            mTask = Tasks.start("tell-work", () -> body.accept(mNotices));
        }
    }

    private final WorkBook mBook;
    private final MemberTable mMembers;
    private final PeerNetwork mPeers;
    private final TimeSource mTime;
    private final Map<String, Listener> mListeners = new ConcurrentHashMap<>();

    public PeerNews(WorkBook book, MemberTable members, PeerNetwork peers, TimeSource time) {
        mBook = book;
        mMembers = members;
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

    /** Only recorded here: the others predict it well enough from when it was placed. */
    @Override
    public void writes(String id) {
        record(new WorkNotice.Writes(id));
    }

    @Override
    public void ended(String id) {
        tell(new WorkNotice.Ended(id));
    }

    private void tell(WorkNotice notice) {
        record(notice);
        Set<String> peers =
                mMembers.aliveMembers().stream()
                        .filter(each -> !each.id().equals(mMembers.self().id()))
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
                gather(notices, news);
                mPeers.tell(
                        peer,
                        new PeerMessage.WorkNews(List.copyOf(news)),
                        Deadline.after(mTime, TELL_TIMEOUT));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (RattanportException e) {
                LOGGER.debugf("peer %s was not told of work: %s", peer, e.getMessage());
                suspect(peer);
            }
        }
    }

    /** News is sent far more often than probes, so it finds a lost peer first. */
    private void suspect(String peer) {
        mMembers.aliveMembers().stream()
                .filter(each -> each.peerAddress().equals(peer))
                .forEach(each -> mMembers.judge(each.id(), MemberState.SUSPECT));
    }

    /** Takes what waits; the end of a request may wait a little for the next that is placed. */
    private static void gather(BlockingQueue<WorkNotice> notices, List<WorkNotice> news)
            throws InterruptedException {
        news.add(notices.take());
        notices.drainTo(news);
        while (news.stream().noneMatch(WorkNotice.Placed.class::isInstance)) {
            WorkNotice next = notices.poll(LONGEST_GATHERING.toMillis(), TimeUnit.MILLISECONDS);
            if (next == null) {
                return;
            }
            news.add(next);
            notices.drainTo(news);
        }
    }

    /** Ends the tasks of all peers. */
    public void close() {
        Set.copyOf(mListeners.keySet()).forEach(this::forget);
    }
}
