package org.rattanport.decisions.gateway.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.jboss.logging.Logger;
import org.rattanport.decisions.gateway.discovery.BackEndRegistry;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.EngineGroup;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.PlacementDecision;
import org.rattanport.kernel.gateway.PlacementDemand;
import org.rattanport.kernel.gateway.WorkUpdate;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Places prompts through the coordinators of groups of engines. A prompt goes to a random group,
 * and to a second one if the first predicts a poor result. When no coordinator responds, this
 * instance places the prompt by its own estimate. The cost of a placement does not depend on the
 * number of instances.
 */
public final class CoordinatedPlacement implements BackEndPlacement, WorkNotifier {
    private static final Logger LOGGER = Logger.getLogger(CoordinatedPlacement.class);

    /** Timeout of a coordinator: many round trips, and a small part of the shortest objective. */
    private static final Duration COORDINATOR_TIMEOUT = Duration.ofMillis(60);

    /** Coordinators that are asked before this instance places the prompt itself. */
    private static final int MAX_COORDINATORS = 2;

    /** Cost per weight above which a second group is asked; that of a probably late answer. */
    private static final double POOR_COST = 0.5;

    /**
     * A prompt that was placed for this instance and that has not ended.
     *
     * @param coordinator the other instance that placed it; empty if this one did
     * @param isDecoding whether its first event has arrived
     */
    private record OpenWork(
            EngineWork work,
            BackEndService service,
            EngineGroup group,
            long placedNanos,
            Optional<Member> coordinator,
            boolean isDecoding) {
        OpenWork decoding() {
            return new OpenWork(work, service, group, placedNanos, coordinator, true);
        }

        boolean isKnownTo(Member member) {
            return coordinator.filter(each -> each.id().equals(member.id())).isPresent();
        }
    }

    private record Grant(Placement placement, OpenWork open) {
        boolean isPostponed() {
            return placement.postponement().isPresent();
        }
    }

    private final BackEndRegistry mRegistry;
    private final PlacementCoordinator mLocal;
    private final CoordinatorDirectory mDirectory;
    private final WorkTracker mTracker;
    private final PeerNetwork mPeers;
    private final WorkUpdateSender mSender;
    private final Consumer<PlacementDecision> mOnDecision;
    private final TimeSource mTime;
    private final Random mRandom;
    private final EngineGroupIndex mGroups = new EngineGroupIndex();
    private final SlowdownObserver mSlowdowns;
    private final Map<String, OpenWork> mOpen = new ConcurrentHashMap<>();

    public CoordinatedPlacement(
            BackEndRegistry registry,
            PlacementCoordinator local,
            CoordinatorDirectory directory,
            WorkTracker tracker,
            PeerNetwork peers,
            WorkUpdateSender sender,
            Consumer<PlacementDecision> onDecision,
            TimeSource time,
            Random random) {
        mRegistry = registry;
        mLocal = local;
        mDirectory = directory;
        mTracker = tracker;
        mPeers = peers;
        mSender = sender;
        mOnDecision = onDecision;
        mTime = time;
        mRandom = random;
        mSlowdowns = new SlowdownObserver(tracker, time);
    }

    @Override
    public Optional<Placement> place(PlacementQuery query) {
        Optional<Grant> best = Optional.empty();
        for (EngineGroup group : groups(query)) {
            Optional<Grant> grant = placeInGroup(query, group);
            best = better(best, grant);
            if (best.isPresent() && !isPoor(best.get())) {
                break;
            }
        }
        best.filter(grant -> !grant.isPostponed()).ifPresent(this::record);
        return best.map(Grant::placement);
    }

    /** Two different groups with a usable engine in random order, or the only one. */
    private List<EngineGroup> groups(PlacementQuery query) {
        List<BackEnd> engines = mRegistry.available(query.service().name());
        int count = CoordinatorDirectory.groupCount(engines.size());
        List<EngineGroup> groups =
                IntStream.range(0, count)
                        .mapToObj(index -> new EngineGroup(index, count))
                        .filter(group -> hasUsableEngine(group, engines, query.excluded()))
                        .toList();
        if (groups.size() <= 1) {
            return groups;
        }
        int first = mRandom.nextInt(groups.size());
        int second = (first + 1 + mRandom.nextInt(groups.size() - 1)) % groups.size();
        return List.of(groups.get(first), groups.get(second));
    }

    /** Few engines may be left to a request, because of their regions or of an evacuation. */
    private boolean hasUsableEngine(
            EngineGroup group, List<BackEnd> engines, Set<String> excluded) {
        return excluded.isEmpty()
                || engines.stream()
                        .filter(each -> !excluded.contains(each.id()))
                        .anyMatch(each -> mGroups.contains(group, each.id()));
    }

    private static boolean isPoor(Grant grant) {
        return grant.placement().cost() > POOR_COST * grant.open().work().weight();
    }

    private Optional<Grant> better(Optional<Grant> one, Optional<Grant> other) {
        if (one.isEmpty() || other.isEmpty()) {
            return one.isPresent() ? one : other;
        }
        boolean isFirstBetter =
                one.get().isPostponed() == other.get().isPostponed()
                        ? one.get().placement().cost() <= other.get().placement().cost()
                        : other.get().isPostponed();
        if (isFirstBetter) {
            withdraw(other.get());
            announceAgain(one.get(), other.get());
            return one;
        }
        if (!isSameCoordinator(one.get().open(), other.get().open())) {
            withdraw(one.get());
        }
        return other;
    }

    private static boolean isSameCoordinator(OpenWork one, OpenWork other) {
        return one.coordinator().map(Member::id).equals(other.coordinator().map(Member::id));
    }

    private void withdraw(Grant grant) {
        if (grant.isPostponed()) {
            return;
        }
        OpenWork open = grant.open();
        if (open.coordinator().isEmpty()) {
            mTracker.ended(open.work().attemptId());
        }
        sendToCoordinator(open, new WorkUpdate.Ended(open.work().attemptId()));
    }

    /** A coordinator of both groups has replaced its record of the first placement. */
    private void announceAgain(Grant chosenGrant, Grant withdrawnGrant) {
        OpenWork chosen = chosenGrant.open();
        boolean wasReplaced =
                isSameCoordinator(chosen, withdrawnGrant.open())
                        && !chosenGrant.isPostponed()
                        && !withdrawnGrant.isPostponed();
        if (!wasReplaced) {
            return;
        }
        if (chosen.coordinator().isEmpty()) {
            mTracker.placed(chosen.work());
        }
        sendToCoordinator(chosen, new WorkUpdate.Placed(chosen.work()));
    }

    private void record(Grant grant) {
        EngineWork work = grant.open().work();
        if (grant.open().coordinator().isPresent()) {
            mTracker.placed(work);
        }
        mOpen.put(work.attemptId(), grant.open());
    }

    private Optional<Grant> placeInGroup(PlacementQuery query, EngineGroup group) {
        PlacementQuery inGroup = new PlacementQuery(query.service(), query.demand().inGroup(group));
        List<Member> candidates = mDirectory.candidates(query.service().name(), group);
        for (Member coordinator : candidates.stream().limit(MAX_COORDINATORS).toList()) {
            if (mDirectory.isSelf(coordinator)) {
                return placeHere(inGroup, PlacementDecision.Coordinator.SELF);
            }
            Optional<PeerMessage.PlacementReply> reply = request(coordinator, inGroup.demand());
            Optional<Grant> grant = reply.flatMap(each -> grant(coordinator, inGroup, each));
            if (grant.isPresent()) {
                mOnDecision.accept(new PlacementDecision(PlacementDecision.Coordinator.PEER, true));
                return grant;
            }
            if (reply.isPresent()) {
                // The views of the engines differ; this instance's view counts for its requests.
                break;
            }
        }
        return placeHere(inGroup, PlacementDecision.Coordinator.NONE);
    }

    private Optional<Grant> placeHere(
            PlacementQuery query, PlacementDecision.Coordinator coordinator) {
        Optional<Grant> grant =
                mLocal.place(query)
                        .filter(each -> each.work().isPresent())
                        .map(
                                each ->
                                        new Grant(
                                                each,
                                                new OpenWork(
                                                        each.work().get(),
                                                        query.service(),
                                                        query.demand().group(),
                                                        mTime.nanoTime(),
                                                        Optional.empty(),
                                                        false)));
        mOnDecision.accept(new PlacementDecision(coordinator, grant.isPresent()));
        return grant;
    }

    private Optional<PeerMessage.PlacementReply> request(
            Member coordinator, PlacementDemand demand) {
        List<WorkUpdate> updates = new ArrayList<>(mSender.takePending(coordinator.peerAddress()));
        updates.addAll(handOver(demand.group(), coordinator));
        try {
            PeerMessage reply =
                    mPeers.call(
                            coordinator.peerAddress(),
                            new PeerMessage.PlacementRequest(demand, updates),
                            Deadline.after(mTime, COORDINATOR_TIMEOUT));
            mDirectory.recordResponse(coordinator);
            return reply instanceof PeerMessage.PlacementReply placement
                    ? Optional.of(placement)
                    : Optional.empty();
        } catch (RattanportException e) {
            LOGGER.debugf(
                    "coordinator %s did not place request %s: %s",
                    coordinator.id(), demand.attemptId(), e.getMessage());
            mDirectory.recordSilence(coordinator);
            // The request may still arrive, and with it work that is now placed elsewhere.
            mSender.send(coordinator.peerAddress(), new WorkUpdate.Ended(demand.attemptId()));
            return Optional.empty();
        }
    }

    /** Announces work and slowdowns that another coordinator of the group knows, as of now. */
    private List<WorkUpdate> handOver(EngineGroup group, Member coordinator) {
        List<WorkUpdate> updates = new ArrayList<>();
        for (OpenWork open : mOpen.values()) {
            if (open.group().equals(group) && !open.isKnownTo(coordinator)) {
                updates.add(new WorkUpdate.Placed(remaining(open)));
                mOpen.replace(
                        open.work().attemptId(),
                        open,
                        new OpenWork(
                                open.work(),
                                open.service(),
                                open.group(),
                                open.placedNanos(),
                                Optional.of(coordinator),
                                open.isDecoding()));
            }
        }
        updates.addAll(mSlowdowns.handOver(coordinator.id(), id -> mGroups.contains(group, id)));
        return updates;
    }

    private EngineWork remaining(OpenWork open) {
        EngineWork work = open.work();
        double elapsed =
                Duration.ofNanos(mTime.nanoTime() - open.placedNanos()).toNanos()
                        / (double) Duration.ofMillis(1).toNanos();
        return work.withPredictedFirstEvent(
                Math.max(0, work.predictedFirstEventMillis() - elapsed));
    }

    /** The placement of the reply, if this instance knows its engines and none is draining. */
    private Optional<Grant> grant(
            Member coordinator, PlacementQuery query, PeerMessage.PlacementReply reply) {
        if (reply.work().isEmpty()) {
            return Optional.empty();
        }
        EngineWork work = withKnownSlowdowns(reply.work().get());
        OpenWork open =
                new OpenWork(
                        work,
                        query.service(),
                        query.demand().group(),
                        mTime.nanoTime(),
                        Optional.of(coordinator),
                        false);
        Optional<Placement> placement =
                Placement.of(work, reply.cost(), mRegistry::findAvailable)
                        .map(each -> reply.postponement().map(each::postponed).orElse(each));
        if (placement.isEmpty() && reply.postponement().isEmpty()) {
            sendToCoordinator(open, new WorkUpdate.Ended(work.attemptId()));
        }
        return placement.map(each -> new Grant(each, open));
    }

    /** The coordinator may not have learned yet of a slowdown that this instance has observed. */
    private EngineWork withKnownSlowdowns(EngineWork work) {
        double slowedPrefillMillis =
                work.shares().stream()
                        .filter(each -> mTracker.slowdowns().factor(each.engineId()) > 1)
                        .mapToDouble(
                                each ->
                                        mTracker.slowdowns().factor(each.engineId())
                                                * each.prefillMillis())
                        .max()
                        .orElse(0);
        return work.withPredictedFirstEvent(
                Math.max(work.predictedFirstEventMillis(), slowedPrefillMillis));
    }

    private void sendToCoordinator(OpenWork open, WorkUpdate update) {
        open.coordinator().ifPresent(each -> mSender.send(each.peerAddress(), update));
    }

    @Override
    public void written(String attemptId) {
        OpenWork open = mOpen.get(attemptId);
        if (open != null) {
            open.service().engineSpec().ifPresent(spec -> mSlowdowns.written(open.work(), spec));
        }
    }

    @Override
    public void eventsArrived(String attemptId, int events, long waitStartNanos) {
        mSlowdowns.eventsArrived(attemptId, events, waitStartNanos).ifPresent(this::reportSlowdown);
    }

    /** Records the slowdown here and tells the instance that coordinates the group now. */
    private void reportSlowdown(WorkUpdate.EngineSlow update) {
        mTracker.recordSlowdown(update);
        Optional<Member> coordinator =
                Optional.ofNullable(mOpen.get(update.attemptId()))
                        .flatMap(
                                open ->
                                        mDirectory
                                                .candidates(open.service().name(), open.group())
                                                .stream()
                                                .findFirst());
        coordinator
                .filter(each -> !mDirectory.isSelf(each))
                .ifPresent(each -> mSender.send(each.peerAddress(), update));
        mSlowdowns.reported(update, coordinator.map(Member::id));
    }

    /** Mostly recorded locally only: the coordinator predicts the first event of short prompts. */
    @Override
    public void decodeStarted(String attemptId) {
        mTracker.decodeStarted(attemptId);
        OpenWork open = mOpen.get(attemptId);
        if (open != null && !open.isDecoding() && WorkTracker.isConfirmed(open.work())) {
            mOpen.computeIfPresent(attemptId, (id, work) -> work.decoding());
            sendToCoordinator(open, new WorkUpdate.Decoding(attemptId));
        }
    }

    @Override
    public void ended(String attemptId) {
        mTracker.ended(attemptId);
        mSlowdowns.ended(attemptId);
        OpenWork open = mOpen.remove(attemptId);
        if (open != null) {
            sendToCoordinator(open, new WorkUpdate.Ended(attemptId));
        }
    }

    @Override
    public void engineFailed(String attemptId, String engineId, double weight) {
        mLocal.engineFailed(engineId, weight);
        OpenWork open = mOpen.get(attemptId);
        if (open != null) {
            sendToCoordinator(open, new WorkUpdate.EngineFailed(attemptId, engineId, weight));
        }
    }

    @Override
    public Duration remainingPrefill(String attemptId, String engineId) {
        Duration known = mTracker.remainingPrefill(engineId);
        OpenWork open = mOpen.get(attemptId);
        if (open == null || open.coordinator().isEmpty()) {
            return known;
        }
        try {
            PeerMessage reply =
                    mPeers.call(
                            open.coordinator().get().peerAddress(),
                            new PeerMessage.PendingPrefillRequest(engineId),
                            Deadline.after(mTime, COORDINATOR_TIMEOUT));
            return reply instanceof PeerMessage.PendingPrefillReply pending
                    ? Duration.ofMillis(pending.millis())
                    : known;
        } catch (RattanportException e) {
            LOGGER.debugf(
                    "the pending prefill work of engine %s is unknown: %s",
                    engineId, e.getMessage());
            return known;
        }
    }
}
