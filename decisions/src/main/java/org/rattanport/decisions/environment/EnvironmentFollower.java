package org.rattanport.decisions.environment;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.rattanport.kernel.environment.ActiveEnvironments;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.Membership;
import org.rattanport.kernel.peer.PeerMessage.DocumentReply;
import org.rattanport.kernel.peer.PeerMessage.DocumentRequest;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Activates newer versions: fetches them from peers that report them, and polls the document store
 * at a low rate.
 */
public final class EnvironmentFollower {
    private static final Logger LOGGER = Logger.getLogger(EnvironmentFollower.class);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_PEERS_AT_START = 3;

    private final String mEnvironment;
    private final ActiveEnvironments mActiveEnvironments;
    private final DocumentStore mStore;
    private final PeerNetwork mPeers;
    private final Membership mMembership;
    private final TimeSource mTime;
    private final RandomGenerator mRandom;

    public EnvironmentFollower(
            String environment,
            ActiveEnvironments activeEnvironments,
            DocumentStore store,
            PeerNetwork peers,
            Membership membership,
            TimeSource time,
            RandomGenerator random) {
        mEnvironment = environment;
        mActiveEnvironments = activeEnvironments;
        mStore = store;
        mPeers = peers;
        mMembership = membership;
        mTime = time;
        mRandom = random;
    }

    /** Reads the head rows of both stages, and a document only when it is newer. */
    public void pollStore() {
        for (Stage stage : Stage.values()) {
            Deadline deadline = Deadline.after(mTime, CALL_TIMEOUT);
            mStore.readNewer(
                            mEnvironment, stage, mActiveEnvironments.activeVersion(stage), deadline)
                    .ifPresent(mActiveEnvironments::activateIfNewer);
        }
    }

    /**
     * Fetches the documents from some peers, so that a new instance neither starts with a stale
     * read of the table service nor waits while it is down.
     */
    public void fetchFromPeers() {
        List<Member> others =
                mMembership.aliveMembers().stream()
                        .filter(each -> !each.id().equals(mMembership.self().id()))
                        .toList();
        mRandom.ints(0, Math.max(1, others.size()))
                .distinct()
                .limit(Math.min(MAX_PEERS_AT_START, others.size()))
                .mapToObj(others::get)
                .forEach(
                        peer ->
                                Arrays.stream(Stage.values())
                                        .forEach(stage -> fetch(peer.peerAddress(), stage)));
    }

    /** Handles the version that a peer reports; fetches the document when it is newer. */
    public void onPeerVersion(String peerAddress, Stage stage, long version) {
        if (version > mActiveEnvironments.activeVersion(stage)) {
            fetch(peerAddress, stage);
        }
    }

    private void fetch(String peerAddress, Stage stage) {
        try {
            Deadline deadline = Deadline.after(mTime, CALL_TIMEOUT);
            if (mPeers.call(peerAddress, new DocumentRequest(stage), deadline)
                    instanceof DocumentReply reply) {
                reply.versions().forEach(mActiveEnvironments::activateIfNewer);
            }
        } catch (RattanportException e) {
            LOGGER.debugf(
                    "cannot fetch the environment document from peer %s: %s",
                    peerAddress, e.getMessage());
        }
    }
}
