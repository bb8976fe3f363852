package org.rattanport.decisions.gateway.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import org.jboss.logging.Logger;
import org.rattanport.decisions.gateway.placement.CoordinatorDirectory;
import org.rattanport.decisions.quota.TokenBucket;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.ColdLimit;
import org.rattanport.kernel.gateway.RateLimit;
import org.rattanport.kernel.gateway.RateLimitUpdate;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.PeerMessage.RateLimitReply;
import org.rattanport.kernel.peer.PeerMessage.RateLimitReport;
import org.rattanport.kernel.peer.PeerMessage.RateLimitRequest;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.time.TimeSource;

/**
 * Grants the tokens of the rate limits that this instance owns. A token is for one request that is
 * written at once.
 *
 * <p>The first alive member in the order of a back end is its owner. It grants the share of the
 * rate that is due to the members which it believes alive, so that the grants in both parts of a
 * parted fleet add up to the limit. Another member that is asked passes the request on to the
 * owner. A silent owner has no deputy: the next member takes over when the failure detector
 * suspects it. An instance that still looks for other members grants nothing, as it would take
 * itself for the whole fleet.
 */
public final class RateLimitOwner {
    private static final Logger LOGGER = Logger.getLogger(RateLimitOwner.class);

    /** A new owner grants nothing for so long, while members still ask the one before. */
    private static final Duration HANDOVER_TIME = Duration.ofSeconds(1);

    /** A limit of 0 is tried at this rate, as only a response can end it. */
    private static final double MIN_REQUESTS_PER_SECOND = 0.1;

    /** Time for which an instance that asked counts as one that wants tokens. */
    private static final Duration DEMAND_LIFETIME = Duration.ofSeconds(5);

    /** Longest time by which instances that want tokens are spread. */
    private static final double MAX_SPREAD_SECONDS = 5;

    /** Longest time after which an instance asks again, apart from the spread. */
    private static final double MAX_WAIT_SECONDS = 10;

    /** Time for which a token is kept for a more urgent request than the one that asks. */
    private static final Duration RESERVATION_TIME = Duration.ofSeconds(2);

    /** Time after which the tokens of a limit that no instance asks for are given up. */
    private static final Duration IDLE_LIFETIME = Duration.ofMinutes(10);

    private static final Duration FORWARD_TIMEOUT = Duration.ofMillis(40);
    private static final long NO_OWNER_WAIT_MILLIS = 200;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** An instance that asked for a token, and the urgency of a request that got none. */
    private record Demand(long askedNanos, Optional<Integer> refusedUrgency) {}

    /** The limit of a cold back end that an instance told with its request. */
    private record AskersCold(double requestsPerSecond, long untilNanos) {}

    /** The rate at which a bucket gets tokens, and how many it holds. */
    private record BucketRate(double tokensPerSecond, double capacity) {
        static BucketRate ofNamed(double rate) {
            return new BucketRate(
                    rate, ColdPacing.BURST_REQUESTS + rate * ColdPacing.BURST_SECONDS);
        }

        /** Returns the rate of a part of the fleet; all parts together hold one full bucket. */
        static BucketRate ofCold(double fleetRate, double share) {
            double rate = fleetRate * share;
            double burst = ColdPacing.BURST_REQUESTS * share + rate * ColdPacing.BURST_SECONDS;
            return new BucketRate(rate, Math.max(1, burst));
        }

        BucketRate smaller(BucketRate other) {
            return new BucketRate(
                    Math.min(tokensPerSecond, other.tokensPerSecond),
                    Math.min(capacity, other.capacity));
        }
    }

    /** The tokens of one back end's limit and the instances that want them. */
    private static final class Allocation {
        private final long mStartWallMillis;
        private final TokenBucket mBucket;
        private final Map<String, Demand> mDemands = new HashMap<>();
        private long mAskedNanos;
        private boolean mIsCold;

        /** What the last instance that asked knew of the back end being cold. */
        private Optional<AskersCold> mAskersCold = Optional.empty();

        private Allocation(long startWallMillis, TokenBucket bucket, long now) {
            mStartWallMillis = startWallMillis;
            mBucket = bucket;
            mAskedNanos = now;
        }

        private boolean isIdle(long now) {
            return now - mAskedNanos > IDLE_LIFETIME.toNanos();
        }
    }

    private final RateLimitTable mTable;
    private final CoordinatorDirectory mDirectory;
    private final ColdRules mCold;
    private final ColdPacing mPacing;
    private final RateLimitPeers mPeers;
    private final TimeSource mTime;
    private final Random mRandom;
    private final RegisteredRuns mRuns = new RegisteredRuns();
    private final Map<String, Allocation> mAllocations = new HashMap<>();

    public RateLimitOwner(
            RateLimitTable table,
            CoordinatorDirectory directory,
            RateLimitPeers peers,
            ColdRules cold,
            TimeSource time,
            Random random) {
        mTable = table;
        mDirectory = directory;
        mCold = cold;
        mPacing = new ColdPacing(cold.bound());
        mPeers = peers;
        mTime = time;
        mRandom = random;
    }

    /** Registers the handlers of requests for tokens and of reports with the peer network. */
    public void registerHandlers(PeerNetwork peers) {
        peers.registerHandler(RateLimitRequest.class, this::decide);
        peers.registerHandler(
                RateLimitReport.class,
                report -> {
                    mTable.record(report.known());
                    return new PeerMessage.Received();
                });
    }

    /** The key of a back end in the order of the members. */
    static String key(String backEndId) {
        return "rate-limit/" + backEndId;
    }

    /** Decides a request for a token, or has the owner decide it. */
    RateLimitReply decide(RateLimitRequest request) {
        mTable.record(request.known());
        Optional<Member> owner =
                mDirectory.order(key(request.known().backEndId())).stream()
                        .findFirst()
                        .filter(each -> !mDirectory.isSelf(each));
        if (owner.isEmpty()) {
            return grant(request);
        }
        boolean canForward = !request.isForwarded() && !mDirectory.isSilent(owner.get());
        return canForward
                ? forward(owner.get(), request)
                : refusal(request.known(), NO_OWNER_WAIT_MILLIS);
    }

    private RateLimitReply forward(Member owner, RateLimitRequest request) {
        RateLimitRequest forwarded =
                new RateLimitRequest(
                        request.known(), request.sender(), request.urgency(), true, request.cold());
        return mPeers.ask(owner, forwarded, FORWARD_TIMEOUT)
                .orElseGet(() -> refusal(request.known(), NO_OWNER_WAIT_MILLIS));
    }

    private RateLimitReply refusal(RateLimitUpdate known, long waitMillis) {
        return new RateLimitReply(mTable.known(known.backEndId()).orElse(known), false, waitMillis);
    }

    private RateLimitReply grant(RateLimitRequest request) {
        RateLimitUpdate known = mTable.known(request.known().backEndId()).orElse(request.known());
        if (known.startWallMillis() != request.known().startWallMillis()) {
            return refusal(known, NO_OWNER_WAIT_MILLIS);
        }
        Optional<Double> cold = coldRequestsPerSecond(request, known);
        if (cold.isEmpty() && !RateLimitTable.isEnforced(known)) {
            drop(known.backEndId(), "the limit has ended");
            return new RateLimitReply(known, true, 0);
        }
        boolean isOwnerPossible =
                cold.isPresent()
                        ? mCold.fleet().isColdOwnerPossible()
                        : mCold.fleet().isOwnerPossible();
        if (!isOwnerPossible) {
            return refusal(known, NO_OWNER_WAIT_MILLIS);
        }
        // Not under the lock, as the member table calls this class under its own.
        BucketRate rate = bucketRate(known, cold);
        synchronized (this) {
            long now = mTime.nanoTime();
            Allocation allocation = allocation(known, rate, HANDOVER_TIME, now);
            allocation.mAskedNanos = now;
            allocation.mIsCold = cold.isPresent();
            request.cold().ifPresent(each -> allocation.mAskersCold = Optional.of(heard(each)));
            allocation.mDemands.values().removeIf(each -> hasLapsed(each, now));
            return take(request, known, allocation, rate, now);
        }
    }

    private AskersCold heard(ColdLimit cold) {
        return new AskersCold(cold.requestsPerSecond(), mTime.nanoTime() + cold.left().toNanos());
    }

    /**
     * Returns the requests a second that the back end takes while it is cold, if this instance or
     * one that asks knows it to be cold. The smaller number counts while they differ.
     */
    private Optional<Double> coldRequestsPerSecond(
            RateLimitRequest request, RateLimitUpdate known) {
        Optional<Double> own =
                mCold.backEnds()
                        .limit(known.backEndId(), known.startWallMillis())
                        .map(ColdLimit::requestsPerSecond);
        Optional<Double> asker =
                request.cold()
                        .map(ColdLimit::requestsPerSecond)
                        .or(() -> lastHeard(known))
                        .filter(each -> each > 0);
        return Stream.of(own, asker).flatMap(Optional::stream).min(Double::compare);
    }

    private synchronized Optional<Double> lastHeard(RateLimitUpdate known) {
        return Optional.ofNullable(mAllocations.get(known.backEndId()))
                .filter(each -> each.mStartWallMillis == known.startWallMillis())
                .flatMap(each -> each.mAskersCold)
                .filter(each -> mTime.nanoTime() - each.untilNanos() < 0)
                .map(AskersCold::requestsPerSecond);
    }

    /** The rate of this part of the fleet. */
    private BucketRate bucketRate(RateLimitUpdate known, Optional<Double> cold) {
        double share = mCold.fleet().share();
        Optional<BucketRate> coldRate =
                cold.map(each -> BucketRate.ofCold(mPacing.ownerRate(each), share));
        if (!RateLimitTable.isEnforced(known)) {
            return coldRate.orElseThrow();
        }
        BucketRate named = BucketRate.ofNamed(effectiveRate(known) * share);
        return coldRate.map(named::smaller).orElse(named);
    }

    /**
     * Begins to own the tokens of a cold back end before they are asked for, if this instance is
     * their owner, so that the time of a handover passes early. Gives up those of a back end that
     * has become warm; if it becomes cold again, instances that have not learned it yet add to what
     * a full bucket would grant.
     */
    void recordRegistered(BackEnd backEnd) {
        Optional<Double> cold = mCold.backEnds().limit(backEnd).map(ColdLimit::requestsPerSecond);
        boolean isNewRun = mRuns.recordRun(backEnd);
        if (cold.isEmpty()) {
            dropWarm(backEnd);
        } else if (mCold.fleet().isColdOwnerPossible() && isOwner(backEnd)) {
            prepare(backEnd, cold, isNewRun && mCold.fleet().isSettled());
        }
    }

    /**
     * Begins to own the tokens of a cold back end.
     *
     * @param isFirstOwner whether no other member can have granted tokens of this run
     */
    private void prepare(BackEnd backEnd, Optional<Double> cold, boolean isFirstOwner) {
        RateLimitUpdate nothing =
                RateLimitUpdate.nothingKnown(backEnd.id(), backEnd.startWallMillis());
        // Instances that still ask for an earlier run are refused from now on.
        mTable.record(nothing);
        RateLimitUpdate known = mTable.known(backEnd.id()).orElse(nothing);
        if (known.startWallMillis() == backEnd.startWallMillis()) {
            BucketRate rate = bucketRate(known, cold);
            Duration delay = isFirstOwner ? Duration.ZERO : HANDOVER_TIME;
            synchronized (this) {
                allocation(known, rate, delay, mTime.nanoTime()).mIsCold = true;
            }
        }
    }

    private synchronized void dropWarm(BackEnd backEnd) {
        Allocation allocation = mAllocations.get(backEnd.id());
        boolean isWarm =
                allocation != null
                        && allocation.mIsCold
                        && allocation
                                .mAskersCold
                                .filter(each -> mTime.nanoTime() - each.untilNanos() < 0)
                                .isEmpty();
        if (isWarm) {
            drop(backEnd.id(), "the back end is warm");
        }
    }

    private boolean isOwner(BackEnd backEnd) {
        return mDirectory.order(key(backEnd.id())).stream()
                .findFirst()
                .filter(mDirectory::isSelf)
                .isPresent();
    }

    private static boolean hasLapsed(Demand demand, long now) {
        return now - demand.askedNanos() > DEMAND_LIFETIME.toNanos();
    }

    private static double effectiveRate(RateLimitUpdate known) {
        double named = known.limit().map(RateLimit::requestsPerSecond).orElse(0.0);
        return Math.max(MIN_REQUESTS_PER_SECOND, named);
    }

    private Allocation allocation(
            RateLimitUpdate known, BucketRate rate, Duration delay, long now) {
        Allocation current = mAllocations.get(known.backEndId());
        if (current != null && current.mStartWallMillis == known.startWallMillis()) {
            return current;
        }
        mAllocations.values().removeIf(each -> each.isIdle(now));
        Allocation created =
                new Allocation(
                        known.startWallMillis(), new TokenBucket(0, now + delay.toNanos()), now);
        mAllocations.put(known.backEndId(), created);
        LOGGER.info(
                LogLine.of("rate-limit-owned")
                        .with("back_end", known.backEndId())
                        .with("requests_per_second", rate.tokensPerSecond())
                        .with("source", known.source())
                        .with("age_millis", known.age().toMillis()));
        return created;
    }

    private RateLimitReply take(
            RateLimitRequest request,
            RateLimitUpdate known,
            Allocation allocation,
            BucketRate bucketRate,
            long now) {
        TokenBucket bucket = allocation.mBucket;
        double rate = bucketRate.tokensPerSecond();
        bucket.refill(rate, bucketRate.capacity(), now);
        double needed = isMoreUrgentWaiting(allocation, request.urgency(), now) ? 2 : 1;
        boolean isGranted = bucket.tokens() >= needed;
        allocation.mDemands.put(
                request.sender().name(),
                new Demand(now, isGranted ? Optional.empty() : Optional.of(request.urgency())));
        if (isGranted) {
            bucket.take(1);
            return new RateLimitReply(known, true, 0);
        }
        double secondsToToken = Math.min(MAX_WAIT_SECONDS, bucket.secondsUntil(needed, rate, now));
        double spread = Math.min(MAX_SPREAD_SECONDS, allocation.mDemands.size() / (2 * rate));
        double wait = secondsToToken + mRandom.nextDouble() * spread;
        return new RateLimitReply(known, false, Math.round(wait * MILLIS_PER_SECOND));
    }

    private static boolean isMoreUrgentWaiting(Allocation allocation, int urgency, long now) {
        return allocation.mDemands.values().stream()
                .filter(each -> now - each.askedNanos() < RESERVATION_TIME.toNanos())
                .anyMatch(
                        each -> each.refusedUrgency().filter(other -> other < urgency).isPresent());
    }

    /** Number of limits whose tokens this instance grants. */
    public synchronized int ownedLimits() {
        return mAllocations.size();
    }

    /**
     * Gives up the limits that another member owns now, and tells it what is known of them. A
     * change of this instance itself means that others took it for silent, so that another member
     * may have granted tokens meanwhile; those of cold back ends begin anew.
     */
    public void membersChanged(Member changed) {
        if (mDirectory.isSelf(changed) || !mCold.fleet().isColdOwnerPossible()) {
            dropCold();
        }
        List<String> owned;
        synchronized (this) {
            owned = List.copyOf(mAllocations.keySet());
        }
        for (String backEndId : owned) {
            mDirectory.order(key(backEndId)).stream()
                    .findFirst()
                    .filter(first -> !mDirectory.isSelf(first))
                    .ifPresent(first -> handOver(backEndId, first));
        }
    }

    private synchronized void dropCold() {
        List<String> cold =
                mAllocations.entrySet().stream()
                        .filter(each -> each.getValue().mIsCold)
                        .map(Map.Entry::getKey)
                        .toList();
        cold.forEach(id -> drop(id, "other members may have granted tokens"));
    }

    private void handOver(String backEndId, Member owner) {
        drop(backEndId, "owned by " + owner.id());
        mTable.known(backEndId).ifPresent(known -> mPeers.report(owner, known));
    }

    private synchronized void drop(String backEndId, String reason) {
        if (mAllocations.remove(backEndId) != null) {
            LOGGER.info(
                    LogLine.of("rate-limit-given-up")
                            .with("back_end", backEndId)
                            .with("reason", reason));
        }
    }
}
