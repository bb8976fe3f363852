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
 * Walks the claim rows a page at a time: marks the claims of ended instances as unsettled and
 * deletes rows past their retention. One live instance does it, chosen by rendezvous; two that both
 * think they are chosen do no harm, since every change is conditional.
 */
public final class ClaimSweeper {
    private static final int PAGE_ROWS = 100;
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);

    private final ClaimTable mClaims;
    private final Membership mMembership;
    private final Supplier<Duration> mRetention;
    private final Duration mGrace;
    private final TimeSource mTime;
    private String mAfterKey = "";

    public ClaimSweeper(
            ClaimTable claims,
            Membership membership,
            Supplier<Duration> retention,
            Duration grace,
            TimeSource time) {
        mClaims = claims;
        mMembership = membership;
        mRetention = retention;
        mGrace = grace;
        mTime = time;
    }

    /** Handles the next page, when this instance is the chosen one. */
    public void sweepPage() {
        if (!isChosen()) {
            return;
        }
        Deadline deadline = Deadline.after(mTime, STORE_TIMEOUT);
        List<Row> rows = mClaims.page(mAfterKey, PAGE_ROWS, deadline);
        rows.forEach(row -> sweep(row, deadline));
        mAfterKey = rows.size() < PAGE_ROWS ? "" : rows.getLast().key();
    }

    private void sweep(Row row, Deadline deadline) {
        Claim claim = mClaims.decode(row);
        long ageMillis = mTime.wallMillis() - claim.changedWallMillis();
        if (claim.state() == ClaimState.SENDING) {
            if (ageMillis > mGrace.toMillis() && mMembership.hasEnded(claim.owner())) {
                mClaims.abandon(row, deadline);
            }
        } else if (ageMillis > mRetention.get().toMillis()) {
            mClaims.forget(row, deadline);
        }
    }

    private boolean isChosen() {
        List<Member> alive = mMembership.aliveMembers();
        return !alive.isEmpty()
                && RendezvousHash.order("claim-sweeper", alive, each -> each.id().name())
                        .getFirst()
                        .id()
                        .equals(mMembership.self().id());
    }
}
