package org.rattanport.decisions.environment;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.rattanport.kernel.environment.EnvironmentInForce;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.Membership;
import org.rattanport.kernel.peer.PeerMessage.DocumentReply;
import org.rattanport.kernel.peer.PeerMessage.DocumentRequest;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/** Brings newer versions into force: from peers that have them and from slow reads of the store. */
public final class EnvironmentFollower {
    private static final Logger LOGGER = Logger.getLogger(EnvironmentFollower.class);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(2);
    private static final int PEERS_ASKED_AT_START = 3;

    private final String mEnvironment;
    private final EnvironmentInForce mInForce;
    private final DocumentStore mStore;
    private final PeerNetwork mPeers;
    private final Membership mMembership;
    private final TimeSource mTime;
    private final RandomGenerator mRandom;

    public EnvironmentFollower(
            String environment,
            EnvironmentInForce inForce,
            DocumentStore store,
            PeerNetwork peers,
            Membership membership,
            TimeSource time,
            RandomGenerator random) {
        mEnvironment = environment;
        mInForce = inForce;
        mStore = store;
        mPeers = peers;
        mMembership = membership;
        mTime = time;
        mRandom = random;
    }

    /** Reads both stages from the store, and the documents only when they are newer. */
    public void readStore() {
        for (Stage stage : Stage.values()) {
            Deadline deadline = Deadline.after(mTime, ANSWER_TIMEOUT);
            mStore.readNewer(mEnvironment, stage, mInForce.version(stage), deadline)
                    .ifPresent(mInForce::offer);
        }
    }

    /**
     * Asks some peers, so that a new instance neither starts with a stale read of the store nor
     * waits for a store that is down.
     */
    public void askPeers() {
        List<Member> others =
                mMembership.aliveMembers().stream()
                        .filter(each -> !each.id().equals(mMembership.self().id()))
                        .toList();
        mRandom.ints(0, Math.max(1, others.size()))
                .distinct()
                .limit(Math.min(PEERS_ASKED_AT_START, others.size()))
                .mapToObj(others::get)
                .forEach(
                        peer ->
                                Arrays.stream(Stage.values())
                                        .forEach(stage -> fetch(peer.peerAddress(), stage)));
    }

    /** Called when a peer tells of its versions; fetches what is newer. */
    public void peerHas(String peerAddress, Stage stage, long version) {
        if (version > mInForce.version(stage)) {
            fetch(peerAddress, stage);
        }
    }

    private void fetch(String peerAddress, Stage stage) {
        try {
            Deadline deadline = Deadline.after(mTime, ANSWER_TIMEOUT);
            if (mPeers.ask(peerAddress, new DocumentRequest(stage), deadline)
                    instanceof DocumentReply reply) {
                reply.versions().forEach(mInForce::offer);
            }
        } catch (RattanportException e) {
            LOGGER.debugf("no document from %s: %s", peerAddress, e.getMessage());
        }
    }
}
