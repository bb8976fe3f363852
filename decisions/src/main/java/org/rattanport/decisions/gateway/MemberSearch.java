package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
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
 * alive. Only the instances that read the store register in the directory, and those that find no
 * other one, which costs the store few writes.
 */
final class MemberSearch {
    private static final Logger LOGGER = Logger.getLogger(MemberSearch.class);
    private static final Duration JOIN_TIMEOUT = Duration.ofMillis(800);

    /** Delay between attempts to join while no other instance is known; seeds may be starting. */
    private static final Duration JOIN_RETRY_DELAY = Duration.ofMillis(150);

    private static final int MAX_JOIN_RETRIES = 4;

    /** Rounds without another alive member after which the directory is read. */
    private static final int MAX_ISOLATED_ROUNDS = 2;

    private volatile List<String> mSeeds;
    private final MemberDirectory mDirectory;
    private final MemberTable mTable;
    private final Gossip mGossip;
    private final TimeSource mTime;
    private final BooleanSupplier mIsReader;
    private OptionalLong mRegisteredEra = OptionalLong.empty();
    private int mIsolatedRounds;

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

    /** Body of a periodic task. */
    void runRound() {
        joinThrough(mSeeds);
        for (int i = 0; i < MAX_JOIN_RETRIES && !hasPeers(); i++) {
            mTime.sleep(JOIN_RETRY_DELAY);
            joinThrough(mSeeds);
        }
        mIsolatedRounds = hasAlivePeers() ? 0 : mIsolatedRounds + 1;
        boolean isIsolated = mIsolatedRounds >= MAX_ISOLATED_ROUNDS;
        if (isIsolated || (hasPeers() && mIsReader.getAsBoolean())) {
            register();
        }
        if (isIsolated) {
            mIsolatedRounds = 0;
            joinThrough(mDirectory.peerAddresses(Deadline.after(mTime, JOIN_TIMEOUT)));
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
        }
    }

    private void joinThrough(List<String> addresses) {
        List<String> knownAddresses = mTable.members().stream().map(Member::peerAddress).toList();
        addresses.stream()
                .filter(each -> !each.equals(mTable.self().peerAddress()))
                .filter(each -> !knownAddresses.contains(each))
                .forEach(this::tryJoin);
    }

    private void tryJoin(String address) {
        try {
            mGossip.join(address, Deadline.after(mTime, JOIN_TIMEOUT));
        } catch (RattanportException e) {
            LOGGER.debugf("cannot join the cluster through %s: %s", address, e.getMessage());
        }
    }
}
