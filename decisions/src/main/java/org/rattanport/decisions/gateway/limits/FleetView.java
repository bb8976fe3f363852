package org.rattanport.decisions.gateway.limits;

import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.rattanport.decisions.gateway.placement.CoordinatorDirectory;

/** How much of the fleet this instance sees. */
public final class FleetView {
    /**
     * Share of the fleet below which a part of it grants no tokens of cold back ends: each part may
     * spend a full bucket within the same second, and the bound leaves room for four of them.
     */
    private static final double MIN_COLD_SHARE = 0.25;

    /**
     * Time without a change of the members after which all of them know the same owners; changes
     * reach all members within about one to three seconds.
     */
    private static final Duration SETTLED_TIME = Duration.ofSeconds(3);

    private final CoordinatorDirectory mDirectory;
    private final MissingMembers mMissing;
    private final List<String> mSeeds;
    private final BooleanSupplier mIsSearchComplete;

    /**
     * Creates the view.
     *
     * @param seeds peer addresses of instances through which this instance joins the cluster
     * @param isSearchComplete whether this instance has met others, or looked for them in vain
     */
    public FleetView(
            CoordinatorDirectory directory,
            MissingMembers missing,
            List<String> seeds,
            BooleanSupplier isSearchComplete) {
        mDirectory = directory;
        mMissing = missing;
        mSeeds = seeds;
        mIsSearchComplete = isSearchComplete;
    }

    private int alive() {
        return Math.max(1, mDirectory.order("").size());
    }

    /** Members that are alive, or fell silent without leaving. */
    int size() {
        return alive() + mMissing.count();
    }

    /** The share of the fleet that is alive as far as this instance knows. */
    double share() {
        return (double) alive() / size();
    }

    /** Whether the members have been the same for so long that nobody knows another owner. */
    boolean isSettled() {
        return mMissing.unchangedFor().compareTo(SETTLED_TIME) >= 0;
    }

    /** Whether this instance knows enough of the fleet to grant tokens of named limits. */
    boolean isOwnerPossible() {
        return mIsSearchComplete.getAsBoolean() || !hasMetNobody();
    }

    /** Whether this part of the fleet is large enough to grant tokens of cold back ends. */
    boolean isColdOwnerPossible() {
        return share() >= MIN_COLD_SHARE && !hasMetNobody();
    }

    /** Whether there are other members by the settings, of which this instance has seen none. */
    private boolean hasMetNobody() {
        return size() == 1
                && mSeeds.stream().anyMatch(each -> !each.equals(mDirectory.self().peerAddress()));
    }
}
