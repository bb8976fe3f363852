package org.rattanport.decisions.gateway.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.rattanport.decisions.gateway.discovery.BackEndRegistry;
import org.rattanport.kernel.error.RattanportException;
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
            EngineGroup group,
            long placedNanos,
            Optional<Member> coordinator,
            boolean isDecoding) {
        OpenWork decoding() {
            return new OpenWork(work, group, placedNanos, coordinator, true);
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
    }

    @Override
    public Optional<Placement> place(PlacementQuery query) {
        int engines = mRegistry.available(query.service().name()).size();
        List<EngineGroup> groups = groups(CoordinatorDirectory.groupCount(engines));
        Optional<Grant> best = Optional.empty();
        for (EngineGroup group : groups) {
            Optional<Grant> grant = placeInGroup(query, group);
            best = better(best, grant);
            if (best.isPresent() && !isPoor(best.get())) {
                break;
            }
        }
        best.filter(grant -> !grant.isPostponed()).ifPresent(this::record);
        return best.map(Grant::placement);
    }

    /** Two different groups in random order, or the only one. */
    private List<EngineGroup> groups(int count) {
        int first = mRandom.nextInt(count);
        if (count == 1) {
            return List.of(new EngineGroup(first, count));
        }
        int second = (first + 1 + mRandom.nextInt(count - 1)) % count;
        return List.of(new EngineGroup(first, count), new EngineGroup(second, count));
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
            Optional<Grant> grant = reply.flatMap(each -> grant(coordinator, group, each));
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

    /** Announces work that another coordinator placed in the group, as of now. */
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
                                open.group(),
                                open.placedNanos(),
                                Optional.of(coordinator),
                                open.isDecoding()));
            }
        }
        return updates;
    }

    private EngineWork remaining(OpenWork open) {
        EngineWork work = open.work();
        double elapsed =
                Duration.ofNanos(mTime.nanoTime() - open.placedNanos()).toNanos()
                        / (double) Duration.ofMillis(1).toNanos();
        return new EngineWork(
                work.attemptId(),
                work.shares(),
                Math.max(0, work.predictedFirstEventMillis() - elapsed),
                work.predictedDecodeMillis(),
                work.maxEventGapMillis(),
                work.weight(),
                work.isDeferred());
    }

    /** The placement of the reply, if this instance knows its engines and none is draining. */
    private Optional<Grant> grant(
            Member coordinator, EngineGroup group, PeerMessage.PlacementReply reply) {
        if (reply.work().isEmpty()) {
            return Optional.empty();
        }
        EngineWork work = reply.work().get();
        OpenWork open =
                new OpenWork(work, group, mTime.nanoTime(), Optional.of(coordinator), false);
        Optional<Placement> placement =
                Placement.of(work, reply.cost(), mRegistry::findAvailable)
                        .map(each -> reply.postponement().map(each::postponed).orElse(each));
        if (placement.isEmpty() && reply.postponement().isEmpty()) {
            sendToCoordinator(open, new WorkUpdate.Ended(work.attemptId()));
        }
        return placement.map(each -> new Grant(each, open));
    }

    private void sendToCoordinator(OpenWork open, WorkUpdate update) {
        open.coordinator().ifPresent(each -> mSender.send(each.peerAddress(), update));
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
        OpenWork open = mOpen.remove(attemptId);
        if (open != null) {
            sendToCoordinator(open, new WorkUpdate.Ended(attemptId));
        }
    }

    @Override
    public void engineFailed(String attemptId, String engineId, double weight) {
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
