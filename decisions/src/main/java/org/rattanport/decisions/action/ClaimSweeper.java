package org.rattanport.decisions.action;

import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import org.rattanport.kernel.model.RendezvousHash;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.Membership;
import org.rattanport.kernel.platform.Row;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Scans the claim rows a page at a time: marks {@code SENDING} claims of ended instances as {@code
 * UNSETTLED} and deletes all other rows past their retention. Rendezvous hashing assigns the scan
 * to one alive instance. Two instances with different views of the membership may scan at the same
 * time without harm, since every write is conditional on the revision of its row.
 */
public final class ClaimSweeper {
    private static final int PAGE_ROWS = 100;
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);

    private final ClaimTable mClaims;
    private final Membership mMembership;
    private final Supplier<Duration> mRetention;
    private final Duration mEndedOwnerGrace;
    private final TimeSource mTime;
    private String mAfterKey = "";

    public ClaimSweeper(
            ClaimTable claims,
            Membership membership,
            Supplier<Duration> retention,
            Duration endedOwnerGrace,
            TimeSource time) {
        mClaims = claims;
        mMembership = membership;
        mRetention = retention;
        mEndedOwnerGrace = endedOwnerGrace;
        mTime = time;
    }

    /** Processes the next page if this instance is responsible for the scan. */
    public void sweepPage() {
        if (!isResponsible()) {
            return;
        }
        Deadline deadline = Deadline.after(mTime, STORE_TIMEOUT);
        List<Row> rows = mClaims.scanPage(mAfterKey, PAGE_ROWS, deadline);
        rows.forEach(row -> sweep(row, deadline));
        mAfterKey = rows.size() < PAGE_ROWS ? "" : rows.getLast().key();
    }

    private void sweep(Row row, Deadline deadline) {
        Claim claim = mClaims.decode(row);
        long ageMillis = mTime.wallMillis() - claim.changedWallMillis();
        if (claim.state() == ClaimState.SENDING) {
            if (ageMillis > mEndedOwnerGrace.toMillis() && mMembership.hasEnded(claim.owner())) {
                mClaims.markUnsettled(row, deadline);
            }
        } else if (ageMillis > mRetention.get().toMillis()) {
            mClaims.delete(row, deadline);
        }
    }

    private boolean isResponsible() {
        List<Member> alive = mMembership.aliveMembers();
        return !alive.isEmpty()
                && RendezvousHash.order("claim-sweeper", alive, each -> each.id().name())
                        .getFirst()
                        .id()
                        .equals(mMembership.self().id());
    }
}
