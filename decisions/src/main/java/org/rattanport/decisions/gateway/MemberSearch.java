package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.List;
import org.jboss.logging.Logger;
import org.rattanport.decisions.membership.Gossip;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.MemberDirectory;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Discovers other instances through seeds, and through the directory while no other instance is
 * alive. Each instance registers once in the directory, which costs the store one write per start.
 */
final class MemberSearch {
    private static final Logger LOGGER = Logger.getLogger(MemberSearch.class);
    private static final Duration JOIN_TIMEOUT = Duration.ofMillis(800);

    /** Rounds without another alive member after which the directory is read. */
    private static final int MAX_ISOLATED_ROUNDS = 2;

    private volatile List<String> mSeeds;
    private final MemberDirectory mDirectory;
    private final MemberTable mTable;
    private final Gossip mGossip;
    private final TimeSource mTime;
    private boolean mIsRegistered;
    private int mIsolatedRounds;

    MemberSearch(
            List<String> seeds,
            MemberDirectory directory,
            MemberTable table,
            Gossip gossip,
            TimeSource time) {
        mSeeds = seeds;
        mDirectory = directory;
        mTable = table;
        mGossip = gossip;
        mTime = time;
    }

    /** Replaces the seeds after the settings have changed. */
    void setSeeds(List<String> seeds) {
        mSeeds = seeds;
    }

    /** Body of a periodic task. */
    void runRound() {
        joinThrough(mSeeds);
        register();
        mIsolatedRounds = hasAlivePeers() ? 0 : mIsolatedRounds + 1;
        if (mIsolatedRounds >= MAX_ISOLATED_ROUNDS) {
            mIsolatedRounds = 0;
            joinThrough(mDirectory.peerAddresses(Deadline.after(mTime, JOIN_TIMEOUT)));
        }
    }

    private boolean hasAlivePeers() {
        return mTable.aliveMembers().stream()
                .anyMatch(each -> !each.id().equals(mTable.self().id()));
    }

    private void register() {
        if (!mIsRegistered) {
            Member self = mTable.self();
            Deadline deadline = Deadline.after(mTime, JOIN_TIMEOUT);
            mDirectory.register(self.id().name(), self.peerAddress(), deadline);
            mIsRegistered = true;
        }
    }

    private void joinThrough(List<String> addresses) {
        List<String> knownAddresses = mTable.members().stream().map(Member::peerAddress).toList();
        addresses.stream().filter(each -> !knownAddresses.contains(each)).forEach(this::tryJoin);
    }

    private void tryJoin(String address) {
        try {
            mGossip.join(address, Deadline.after(mTime, JOIN_TIMEOUT));
        } catch (RattanportException e) {
            LOGGER.debugf("cannot join the cluster through %s: %s", address, e.getMessage());
        }
    }
}
