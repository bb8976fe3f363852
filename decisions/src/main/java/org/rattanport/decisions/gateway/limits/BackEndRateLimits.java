package org.rattanport.decisions.gateway.limits;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.rattanport.decisions.gateway.discovery.RequestGate;
import org.rattanport.decisions.gateway.placement.CoordinatorDirectory;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.ColdLimit;
import org.rattanport.kernel.gateway.RateLimitEvent;
import org.rattanport.kernel.gateway.RateLimitUpdate;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.PeerMessage.RateLimitReply;
import org.rattanport.kernel.peer.PeerMessage.RateLimitRequest;
import org.rattanport.kernel.time.TimeSource;

/**
 * Keeps the rate limits that back ends name in their responses, and those of cold back ends. Each
 * request to a limited back end needs a token of the owner of the limit; without a response of an
 * owner no request is written, except for a few to cold back ends while no warm one is left.
 */
public final class BackEndRateLimits implements RequestGate {
    /** Timeout of an owner, which may pass the request on to another one. */
    private static final Duration OWNER_TIMEOUT = Duration.ofMillis(80);

    /** Members that learn a change at once: the owner, and the one that would take over. */
    private static final int INFORMED_MEMBERS = 2;

    /** Time for which no request is tried after no owner has responded. */
    private static final Duration UNANSWERED_WAIT = Duration.ofMillis(200);

    /** Age after which a token is void; this instance was frozen since it asked. */
    private static final Duration TOKEN_LIFETIME = Duration.ofMillis(250);

    private static final int MAX_HOLDS = 1_000;

    /** Keeps requests away from a back end while its limit stays the same. */
    private record Hold(Limits limits, long untilNanos) {
        boolean isFor(Limits current) {
            return limits.known().limit().equals(current.known().limit())
                    && limits.known().startWallMillis() == current.known().startWallMillis()
                    && limits.cold().isPresent() == current.cold().isPresent();
        }
    }

    /**
     * Why requests to a back end need tokens.
     *
     * @param known what is known of the limit that it named
     * @param cold its limit while it is cold
     */
    private record Limits(RateLimitUpdate known, Optional<ColdLimit> cold) {}

    private final RateLimitTable mTable;
    private final RateLimitOwner mOwner;
    private final CoordinatorDirectory mDirectory;
    private final RateLimitPeers mPeers;
    private final ColdRules mCold;
    private final ColdFallback mFallback;
    private final Executor mBackground;
    private final Consumer<RateLimitEvent> mOnEvent;
    private final TimeSource mTime;
    private final Random mRandom;
    private final AtomicLong mResponses = new AtomicLong();
    private final Map<String, Hold> mHolds = new ConcurrentHashMap<>();

    public BackEndRateLimits(
            RateLimitTable table,
            RateLimitOwner owner,
            CoordinatorDirectory directory,
            RateLimitPeers peers,
            ColdRules cold,
            Executor background,
            Consumer<RateLimitEvent> onEvent,
            TimeSource time,
            Random random) {
        mTable = table;
        mOwner = owner;
        mDirectory = directory;
        mPeers = peers;
        mCold = cold;
        mFallback = new ColdFallback(cold.bound(), time, random);
        mBackground = background;
        mOnEvent = onEvent;
        mTime = time;
        mRandom = random;
    }

    /**
     * Records what a response says about the limit of the back end.
     *
     * @param written when the request was written
     */
    public void recordResponse(BackEnd backEnd, ResponseHead head, ClockReading written) {
        if (head.isMisdirected()) {
            return;
        }
        RateLimitUpdate update =
                new RateLimitUpdate(
                        backEnd.id(),
                        backEnd.startWallMillis(),
                        head.rateLimit(),
                        mDirectory.self().id().toString(),
                        mResponses.incrementAndGet(),
                        written.age(mTime));
        if (mTable.record(update)) {
            mBackground.execute(() -> report(backEnd.id()));
        }
    }

    /** Tells the owner and the next one in order, which may have to take over. */
    private void report(String backEndId) {
        mTable.known(backEndId)
                .ifPresent(
                        known ->
                                mDirectory.candidates(RateLimitOwner.key(backEndId)).stream()
                                        .limit(INFORMED_MEMBERS)
                                        .filter(each -> !mDirectory.isSelf(each))
                                        .forEach(each -> mPeers.report(each, known)));
    }

    @Override
    public void recordRegistered(BackEnd backEnd) {
        mTable.recordRegistered(backEnd);
        mCold.backEnds().recordRegistered(backEnd);
        mOwner.recordRegistered(backEnd);
    }

    @Override
    public String reason() {
        return "has reached its rate limit";
    }

    @Override
    public boolean accepts(BackEnd backEnd) {
        return waitTime(backEnd).isEmpty();
    }

    @Override
    public Optional<Duration> waitTime(BackEnd backEnd) {
        Hold hold = mHolds.get(backEnd.id());
        if (hold == null) {
            return Optional.empty();
        }
        long remaining = hold.untilNanos() - mTime.nanoTime();
        boolean isInForce = remaining > 0 && limits(backEnd).filter(hold::isFor).isPresent();
        if (!isInForce) {
            mHolds.remove(backEnd.id(), hold);
            return Optional.empty();
        }
        return Optional.of(Duration.ofNanos(remaining));
    }

    /** Whether requests to the back end need tokens. */
    public boolean isLimited(BackEnd backEnd) {
        return limits(backEnd).isPresent();
    }

    private Optional<Limits> limits(BackEnd backEnd) {
        Optional<RateLimitUpdate> named = mTable.limited(backEnd);
        Optional<ColdLimit> cold = mCold.backEnds().limit(backEnd);
        if (named.isEmpty() && cold.isEmpty()) {
            return Optional.empty();
        }
        long start = backEnd.startWallMillis();
        RateLimitUpdate known =
                named.or(() -> mTable.known(backEnd.id()).filter(e -> e.startWallMillis() >= start))
                        .orElseGet(() -> RateLimitUpdate.nothingKnown(backEnd.id(), start));
        return Optional.of(new Limits(known, cold));
    }

    /** Whether the back end is cold, and its service has a bound for that. */
    public boolean isCold(BackEnd backEnd) {
        return mCold.backEnds().limit(backEnd).isPresent();
    }

    /**
     * Returns the cold back ends that a request should avoid while a warm one takes it: all of them
     * or none, so that cold back ends, which look idle, together get no larger part of the requests
     * than their part of the back ends.
     */
    public Set<String> avoidableCold(Collection<BackEnd> candidates) {
        Set<String> cold =
                candidates.stream()
                        .filter(this::isCold)
                        .map(BackEnd::id)
                        .collect(Collectors.toSet());
        return cold.isEmpty() || mRandom.nextInt(candidates.size()) < cold.size() ? Set.of() : cold;
    }

    /**
     * Whether a request may be written to the back end at this moment. For a limited one, this asks
     * the owner of the limit for a token.
     *
     * @param urgency urgency of the request, 0 for the most urgent
     */
    public boolean tryUse(BackEnd backEnd, int urgency) {
        return tryUse(backEnd, urgency, () -> false);
    }

    /**
     * Whether a request may be written to the back end at this moment.
     *
     * @param isNoneWarm whether no warm back end is left for the request; then it may be written to
     *     a cold one although no owner responds
     */
    public boolean tryUse(BackEnd backEnd, int urgency, BooleanSupplier isNoneWarm) {
        Optional<Limits> limited = limits(backEnd);
        if (limited.isEmpty()) {
            return true;
        }
        boolean isGranted =
                accepts(backEnd) && takeToken(backEnd, limited.get(), urgency, isNoneWarm);
        publish(backEnd, isGranted ? RateLimitEvent.Kind.GRANTED : RateLimitEvent.Kind.HELD_BACK);
        return isGranted;
    }

    private boolean takeToken(
            BackEnd backEnd, Limits limits, int urgency, BooleanSupplier isNoneWarm) {
        ClockReading asked = ClockReading.now(mTime);
        RateLimitRequest request =
                new RateLimitRequest(
                        limits.known(), mDirectory.self().id(), urgency, false, limits.cold());
        Optional<RateLimitReply> reply =
                isInTooSmallPart(limits) ? Optional.empty() : decide(backEnd, request);
        if (reply.isEmpty()) {
            publish(backEnd, RateLimitEvent.Kind.UNANSWERED);
            if (mayFallBack(limits) && isNoneWarm.getAsBoolean()) {
                return tryFallback(backEnd, limits.cold().orElseThrow());
            }
            hold(backEnd, UNANSWERED_WAIT);
            return false;
        }
        if (!reply.get().isGranted()) {
            hold(backEnd, Duration.ofMillis(reply.get().waitMillis()));
            return false;
        }
        return asked.age(mTime).compareTo(TOKEN_LIFETIME) <= 0;
    }

    private Optional<RateLimitReply> decide(BackEnd backEnd, RateLimitRequest request) {
        return isAlone(backEnd) ? Optional.of(mOwner.decide(request)) : askOwner(backEnd, request);
    }

    /** Whether no member that this instance sees may grant tokens of a cold back end. */
    private boolean isInTooSmallPart(Limits limits) {
        return limits.cold().isPresent() && !mCold.fleet().isColdOwnerPossible();
    }

    /** Without an owner, only a named limit forbids every request. */
    private static boolean mayFallBack(Limits limits) {
        return limits.cold().isPresent() && !RateLimitTable.isEnforced(limits.known());
    }

    private boolean tryFallback(BackEnd backEnd, ColdLimit cold) {
        boolean isTaken = mFallback.tryTake(backEnd.id(), cold, mCold.fleet().size());
        if (isTaken) {
            publish(backEnd, RateLimitEvent.Kind.FALLBACK);
        } else {
            hold(backEnd, UNANSWERED_WAIT);
        }
        return isTaken;
    }

    /** Asks the owner, or while that is silent another member, which may reach it. */
    private Optional<RateLimitReply> askOwner(BackEnd backEnd, RateLimitRequest request) {
        List<Member> members = mDirectory.order(RateLimitOwner.key(backEnd.id()));
        Member owner = members.getFirst();
        Optional<RateLimitReply> reply =
                mDirectory.isSilent(owner) ? Optional.empty() : ask(owner, request);
        return reply.isPresent() ? reply : anyOther(members).flatMap(each -> ask(each, request));
    }

    private Optional<Member> anyOther(List<Member> members) {
        List<Member> others =
                members.stream()
                        .skip(1)
                        .filter(each -> !mDirectory.isSelf(each) && !mDirectory.isSilent(each))
                        .toList();
        return others.isEmpty()
                ? Optional.empty()
                : Optional.of(others.get(mRandom.nextInt(others.size())));
    }

    /** Whether no member is alive, as in a fleet of one that stops. */
    private boolean isAlone(BackEnd backEnd) {
        return mDirectory.order(RateLimitOwner.key(backEnd.id())).isEmpty();
    }

    private Optional<RateLimitReply> ask(Member member, RateLimitRequest request) {
        if (mDirectory.isSelf(member)) {
            return Optional.of(mOwner.decide(request));
        }
        return mPeers.ask(member, request, OWNER_TIMEOUT);
    }

    private void hold(BackEnd backEnd, Duration duration) {
        if (mHolds.size() >= MAX_HOLDS) {
            // Those of back ends that have ended are not looked at any more.
            mHolds.values().removeIf(each -> each.untilNanos() - mTime.nanoTime() <= 0);
        }
        long untilNanos = mTime.nanoTime() + duration.toNanos();
        limits(backEnd).ifPresent(limits -> mHolds.put(backEnd.id(), new Hold(limits, untilNanos)));
    }

    private void publish(BackEnd backEnd, RateLimitEvent.Kind kind) {
        mOnEvent.accept(new RateLimitEvent(backEnd.id(), kind));
    }
}
