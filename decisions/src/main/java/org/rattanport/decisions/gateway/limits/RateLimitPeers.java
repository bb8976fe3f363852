package org.rattanport.decisions.gateway.limits;

import java.time.Duration;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.rattanport.decisions.gateway.placement.CoordinatorDirectory;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.RateLimitUpdate;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.PeerMessage.RateLimitReply;
import org.rattanport.kernel.peer.PeerMessage.RateLimitReport;
import org.rattanport.kernel.peer.PeerMessage.RateLimitRequest;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/** Sends the messages about rate limits to other members, and records which are silent. */
public final class RateLimitPeers {
    private static final Logger LOGGER = Logger.getLogger(RateLimitPeers.class);
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(40);

    private final PeerNetwork mPeers;
    private final CoordinatorDirectory mDirectory;
    private final RateLimitTable mTable;
    private final TimeSource mTime;

    public RateLimitPeers(
            PeerNetwork peers,
            CoordinatorDirectory directory,
            RateLimitTable table,
            TimeSource time) {
        mPeers = peers;
        mDirectory = directory;
        mTable = table;
        mTime = time;
    }

    /** Asks a member for a token, and records what it knows; empty if it does not respond. */
    Optional<RateLimitReply> ask(Member member, RateLimitRequest request, Duration timeout) {
        Deadline deadline = Deadline.after(mTime, timeout);
        try {
            if (mDirectory.wasSilent(member)) {
                // A member whose responses are lost would take tokens from its bucket in vain.
                mPeers.call(member.peerAddress(), new RateLimitReport(request.known()), deadline);
            }
            PeerMessage reply = mPeers.call(member.peerAddress(), request, deadline);
            mDirectory.recordResponse(member);
            if (reply instanceof RateLimitReply decision) {
                mTable.record(decision.known());
                return Optional.of(decision);
            }
        } catch (RattanportException e) {
            LOGGER.debugf(
                    "owner %s of the rate limit of %s does not respond: %s",
                    member.id(), request.known().backEndId(), e.getMessage());
            mDirectory.recordSilence(member);
        }
        return Optional.empty();
    }

    /** Tells a member what is known; if it is not reached, it learns that with later requests. */
    void report(Member member, RateLimitUpdate known) {
        try {
            mPeers.send(
                    member.peerAddress(),
                    new RateLimitReport(known),
                    Deadline.after(mTime, CONNECT_TIMEOUT));
        } catch (RattanportException e) {
            LOGGER.debugf(
                    "the rate limit of %s was not reported to %s: %s",
                    known.backEndId(), member.id(), e.getMessage());
        }
    }
}
