package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.jboss.logging.Logger;
import org.rattanport.decisions.membership.Gossip;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.gateway.MemberDirectory;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Discovers other instances through seeds, and through the directory while no other instance is
 * known or alive. Only the instances that read the store register in the directory, and those that
 * find no other one, which costs the store few writes. Those that register read the directory too,
 * so that parts of the cluster that were formed through different seeds find each other.
 */
final class MemberSearch {
    private static final Logger LOGGER = Logger.getLogger(MemberSearch.class);
    private static final Duration JOIN_TIMEOUT = Duration.ofMillis(800);

    /** Delay between attempts to join while no other instance is known; seeds may be starting. */
    private static final Duration JOIN_RETRY_DELAY = Duration.ofMillis(150);

    /** Time for such attempts in a round; seeds that are silent leave none for a second one. */
    private static final Duration JOIN_RETRY_TIME = Duration.ofMillis(600);

    /** Rounds without another alive member after which this instance counts as isolated. */
    private static final int MAX_ISOLATED_ROUNDS = 2;

    private volatile List<String> mSeeds;
    private final MemberDirectory mDirectory;
    private final MemberTable mTable;
    private final Gossip mGossip;
    private final TimeSource mTime;
    private final BooleanSupplier mIsReader;
    private OptionalLong mRegisteredEra = OptionalLong.empty();
    private int mIsolatedRounds;
    private volatile boolean mIsComplete;

    MemberSearch(
            List<String> seeds,
            MemberDirectory directory,
            MemberTable table,
            Gossip gossip,
            BooleanSupplier isReader,
            TimeSource time) {
        mSeeds = seeds;
        mDirectory = directory;
        mTable = table;
        mGossip = gossip;
        mIsReader = isReader;
        mTime = time;
    }

    /** Replaces the seeds after the settings have changed. */
    void setSeeds(List<String> seeds) {
        mSeeds = seeds;
    }

    /**
     * Whether this instance knows another one, or has found none through its seeds and the
     * directory, or has no seed but itself. Otherwise it cannot tell whether it is alone.
     */
    boolean isComplete() {
        return mIsComplete || hasPeers() || !hasOtherSeeds();
    }

    private boolean hasOtherSeeds() {
        return mSeeds.stream().anyMatch(each -> !each.equals(mTable.self().peerAddress()));
    }

    /** Body of a periodic task. */
    void runRound() {
        long startNanos = mTime.nanoTime();
        joinThrough(mSeeds);
        while (!hasPeers() && mTime.nanoTime() - startNanos < JOIN_RETRY_TIME.toNanos()) {
            mTime.sleep(JOIN_RETRY_DELAY);
            joinThrough(mSeeds);
        }
        String source = hasPeers() ? "seeds" : "directory";
        mIsolatedRounds = hasAlivePeers() ? 0 : mIsolatedRounds + 1;
        boolean isIsolated = mIsolatedRounds >= MAX_ISOLATED_ROUNDS;
        if (isIsolated || !hasPeers()) {
            joinThroughDirectory();
        }
        if (isIsolated || hasPeers()) {
            complete(source);
        }
        boolean isStillIsolated = isIsolated && !hasAlivePeers();
        if (isStillIsolated || (hasPeers() && mIsReader.getAsBoolean())) {
            register();
        }
        mIsolatedRounds = isIsolated ? 0 : mIsolatedRounds;
    }

    private void complete(String source) {
        if (!mIsComplete) {
            mIsComplete = true;
            LOGGER.info(
                    LogLine.of("member-search-ended")
                            .with("source", source)
                            .with("members", mTable.members().size()));
        }
    }

    private boolean hasPeers() {
        return mTable.members().size() > 1;
    }

    private boolean hasAlivePeers() {
        return mTable.aliveMembers().stream()
                .anyMatch(each -> !each.id().equals(mTable.self().id()));
    }

    private void register() {
        OptionalLong era = OptionalLong.of(mDirectory.era());
        if (!mRegisteredEra.equals(era)) {
            Member self = mTable.self();
            Deadline deadline = Deadline.after(mTime, JOIN_TIMEOUT);
            mDirectory.register(self.id().name(), self.peerAddress(), deadline);
            mRegisteredEra = era;
            joinThroughDirectory();
        }
    }

    private void joinThroughDirectory() {
        joinThrough(mDirectory.peerAddresses(Deadline.after(mTime, JOIN_TIMEOUT)));
    }

    /** Asks all addresses at the same time, as some may be silent until the timeout. */
    private void joinThrough(List<String> addresses) {
        List<String> knownAddresses = mTable.members().stream().map(Member::peerAddress).toList();
        List<Thread> tasks =
                addresses.stream()
                        .filter(each -> !each.equals(mTable.self().peerAddress()))
                        .filter(each -> !knownAddresses.contains(each))
                        .map(each -> Tasks.start("join-" + each, () -> tryJoin(each)))
                        .toList();
        tasks.forEach(MemberSearch::await);
    }

    private static void await(Thread task) {
        try {
            task.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new RattanportException(ErrorCode.CANCELLED, "the search was cancelled");
        }
    }

    private void tryJoin(String address) {
        try {
            mGossip.join(address, Deadline.after(mTime, JOIN_TIMEOUT));
        } catch (RattanportException e) {
            LOGGER.debugf("cannot join the cluster through %s: %s", address, e.getMessage());
        }
    }
}
