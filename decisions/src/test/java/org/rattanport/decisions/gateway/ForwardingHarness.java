package org.rattanport.decisions.gateway;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.rattanport.decisions.gateway.ScriptedBackEnds.Reaction;
import org.rattanport.decisions.gateway.discovery.ActiveRouting;
import org.rattanport.decisions.gateway.discovery.BackEndRegistry;
import org.rattanport.decisions.gateway.discovery.EvacuatedDataCentres;
import org.rattanport.decisions.gateway.limits.BackEndNotices;
import org.rattanport.decisions.gateway.limits.BackEndRateLimits;
import org.rattanport.decisions.gateway.limits.RateLimitInstance;
import org.rattanport.decisions.gateway.placement.BackEndHealth;
import org.rattanport.decisions.gateway.placement.BackEndPlacement;
import org.rattanport.decisions.gateway.placement.LeastLoadedPlacement;
import org.rattanport.decisions.gateway.placement.LoadTable;
import org.rattanport.decisions.gateway.placement.MemoryLeases;
import org.rattanport.decisions.gateway.placement.Placement;
import org.rattanport.decisions.gateway.placement.PlacementQuery;
import org.rattanport.decisions.gateway.placement.WorkNotifier;
import org.rattanport.decisions.poison.CrashAttribution;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.Attempt;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.DataCentreRegions;
import org.rattanport.kernel.gateway.EngineMemoryClient;
import org.rattanport.kernel.gateway.EngineShare;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.PlacementDemand;
import org.rattanport.kernel.gateway.RequestOutcome;
import org.rattanport.kernel.gateway.RouteKind;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.ManualTimeSource;

/** Requests that are forwarded to scripted back ends under virtual time. */
abstract class ForwardingHarness {
    final ManualTimeSource mTime = new ManualTimeSource();
    final EventStreams mEvents = new EventStreams();
    final BackEndNotices mNotices = new BackEndNotices(mTime, notice -> {}, rumor -> {});
    final RateLimitInstance mRateLimitInstance = TestFleet.rateLimits(mTime);
    final BackEndRateLimits mRateLimits = mRateLimitInstance.limits();
    final EvacuatedDataCentres mEvacuated = TestFleet.evacuated(mTime);
    final BackEndRegistry mRegistry = new BackEndRegistry(mTime, mNotices, mRateLimits, mEvacuated);
    DataCentreRegions mRegions = new DataCentreRegions(Map.of());
    final BackEndHealth mHealth = new BackEndHealth(mTime);
    final ActiveRouting mRouting = new ActiveRouting(mEvents);
    final ScriptedBackEnds mBackEnds = new ScriptedBackEnds(mTime);
    final List<Attempt> mAttempts = mBackEnds.attempts();
    final List<RequestOutcome> mOutcomes = new ArrayList<>();
    final FakeCaller mCaller = new FakeCaller();
    final List<PlacementDemand> mDemands = new ArrayList<>();
    int mSlack = 100;

    /** Receives the progress of requests for prompts. */
    WorkNotifier mWorkNotifier = new NoOpWorkNotifier();

    /** Engines that prefill parts of each request. */
    List<BackEnd> mPrefillEngines = List.of();

    /** The predicted work of each request. */
    Optional<EngineWork> mWork = Optional.empty();

    /** Times for which the next placements are postponed, and the predicted first event of all. */
    final Deque<Duration> mPostponements = new ArrayDeque<>();

    double mPredictedFirstEventMillis;

    /** Queries of the placements. */
    final List<PlacementQuery> mQueries = new ArrayList<>();

    /** What happens while a back end is chosen. */
    Runnable mDuringPlacement = () -> {};

    @BeforeEach
    void setUp() {
        List<BackEnd> backEnds = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            backEnds.add(TestFleet.backEnd("call-" + i, TestFleet.CALLS, false));
            backEnds.add(TestFleet.backEnd("engine-" + i, TestFleet.ENGINES, false));
        }
        mRegistry.replace(backEnds);
        mRouting.activateIfNewer(
                TestFleet.document(
                        1,
                        TestFleet.route("host", "/read/", RouteKind.IDEMPOTENT),
                        TestFleet.route("host", "/book/", RouteKind.NON_IDEMPOTENT),
                        TestFleet.route("host", "/stream/", RouteKind.STREAMING)));
        mEvents.stream(RequestOutcome.class).subscribe(mOutcomes::add);
    }

    GatewayService service() {
        LoadTable loadTable = new LoadTable(mTime);
        Random random = new Random(1);
        BackEndPlacement calls =
                new LeastLoadedPlacement("zone", mRegistry, mHealth, loadTable, random);
        BackEndPlacement delayedCalls =
                query -> {
                    mQueries.add(query);
                    mDuringPlacement.run();
                    mDemands.add(query.demand());
                    return calls.place(query).map(this::withPrefillEngines);
                };
        MemoryLeases leases = new MemoryLeases(new GrantingMemoryClient(), mEvacuated, mTime);
        ServiceRetryBudget retryBudget =
                new ServiceRetryBudget(
                        mTime, Duration.ofSeconds(10), 0.2, mSlack, () -> OptionalInt.of(1));
        GatewayComponents components =
                new GatewayComponents(
                        mRouting,
                        mRegistry,
                        mEvacuated,
                        mNotices,
                        mRateLimits,
                        delayedCalls,
                        delayedCalls,
                        mBackEnds,
                        leases,
                        new OutcomeRecorder(
                                mHealth,
                                new CrashAttribution(mTime, rumor -> {}, rumor -> {}, random)),
                        loadTable,
                        mWorkNotifier,
                        retryBudget,
                        mRegions,
                        mEvents,
                        mTime);
        return new GatewayService(components, random);
    }

    private Placement withPrefillEngines(Placement placement) {
        return new Placement(
                placement.backEnd(),
                mPrefillEngines,
                placement.reservations(),
                mWork.or(() -> work(placement.backEnd())),
                placement.cost(),
                Optional.ofNullable(mPostponements.poll()));
    }

    private Optional<EngineWork> work(BackEnd engine) {
        if (mPredictedFirstEventMillis == 0) {
            return Optional.empty();
        }
        EngineShare share = new EngineShare(engine.id(), 0, 0, 0, true);
        return Optional.of(
                new EngineWork("work", List.of(share), mPredictedFirstEventMillis, 0, 200, 1));
    }

    void serve(String path, Reaction... reactions) {
        mBackEnds.reactions().addAll(List.of(reactions));
        service().serve(TestFleet.request(path, 0), mCaller);
    }

    RattanportException serveExpectingError(String path, Reaction... reactions) {
        return assertThrows(RattanportException.class, () -> serve(path, reactions));
    }

    static class NoOpWorkNotifier implements WorkNotifier {
        @Override
        public void written(String id) {}

        @Override
        public void eventsArrived(String id, int events, long waitStartNanos) {}

        @Override
        public void decodeStarted(String id) {}

        @Override
        public void ended(String id) {}

        @Override
        public void engineFailed(String id, String engineId, double weight) {}

        @Override
        public Duration remainingPrefill(String id, String engineId) {
            return Duration.ZERO;
        }
    }

    private static final class GrantingMemoryClient implements EngineMemoryClient {
        @Override
        public boolean acquire(
                String address, String id, int tokens, Duration duration, Deadline deadline) {
            return true;
        }

        @Override
        public boolean isReachable(String address, Deadline deadline) {
            return true;
        }

        @Override
        public boolean release(String address, String id, Deadline deadline) {
            return true;
        }
    }
}
