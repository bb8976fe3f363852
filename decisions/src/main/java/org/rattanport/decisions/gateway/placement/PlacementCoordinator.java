package org.rattanport.decisions.gateway.placement;

import java.util.Optional;
import org.rattanport.decisions.gateway.discovery.ActiveRouting;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.PlacementDemand;
import org.rattanport.kernel.gateway.WorkUpdate;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.PeerNetwork;

/**
 * Places prompts for the instances that choose this one as the coordinator of a group of engines.
 * One decision at a time sees all earlier ones, so that two prompts never take the same free
 * engine. Two coordinators of a group only make the load estimates less exact.
 */
public final class PlacementCoordinator {
    private final ActiveRouting mRouting;
    private final BackEndPlacement mPlacement;
    private final WorkTracker mTracker;
    private final BackEndHealth mHealth;
    private final RetainedPrompts mRetained;

    public PlacementCoordinator(
            ActiveRouting routing,
            BackEndPlacement placement,
            WorkTracker tracker,
            BackEndHealth health) {
        this(routing, placement, tracker, health, new NoRetainedPrompts());
    }

    /** Creates a coordinator that records its placements in the memory of retained prompts. */
    public PlacementCoordinator(
            ActiveRouting routing,
            BackEndPlacement placement,
            WorkTracker tracker,
            BackEndHealth health,
            RetainedPrompts retained) {
        mRouting = routing;
        mPlacement = placement;
        mTracker = tracker;
        mHealth = health;
        mRetained = retained;
    }

    /** Registers the handlers of placements and work updates with the peer network. */
    public void registerHandlers(PeerNetwork peers) {
        peers.registerHandler(PeerMessage.PlacementRequest.class, this::handle);
        peers.registerHandler(
                PeerMessage.WorkUpdates.class,
                batch -> {
                    batch.updates().forEach(this::apply);
                    return new PeerMessage.Received();
                });
        peers.registerHandler(
                PeerMessage.PendingPrefillRequest.class,
                request ->
                        new PeerMessage.PendingPrefillReply(
                                mTracker.remainingPrefill(request.engineId()).toMillis()));
    }

    /** Places the prompt and records its work. */
    synchronized Optional<Placement> place(PlacementQuery query) {
        Optional<Placement> placement = mPlacement.place(query);
        placement
                .filter(each -> each.postponement().isEmpty())
                .ifPresent(each -> record(each, query));
        return placement;
    }

    private void record(Placement placement, PlacementQuery query) {
        placement.work().ifPresent(mTracker::placed);
        if (query.retainsPrompt()) {
            mRetained.recordPlaced(placement, PromptPrefix.of(query.demand().parts()));
        }
    }

    /** Records that an engine failed a request that was placed here. */
    void engineFailed(String engineId, double weight) {
        mRetained.recordFailure(engineId, weight);
    }

    private PeerMessage handle(PeerMessage.PlacementRequest request) {
        request.updates().forEach(this::apply);
        PlacementDemand demand = request.demand();
        Optional<BackEndService> service =
                mRouting.current()
                        .flatMap(table -> table.service(demand.service()))
                        .filter(each -> each.engineSpec().isPresent());
        if (service.isEmpty()) {
            return new PeerMessage.Unhandled();
        }
        Optional<Placement> placement = place(new PlacementQuery(service.get(), demand));
        return new PeerMessage.PlacementReply(
                placement.flatMap(Placement::work),
                placement.map(Placement::cost).orElse(Double.MAX_VALUE),
                placement.flatMap(Placement::postponement));
    }

    private void apply(WorkUpdate update) {
        switch (update) {
            case WorkUpdate.Placed placed -> mTracker.placed(placed.work());
            case WorkUpdate.Decoding started -> mTracker.decodeStarted(started.attemptId());
            case WorkUpdate.Ended ended -> mTracker.ended(ended.attemptId());
            case WorkUpdate.EngineFailed failed -> {
                mHealth.recordFailure(failed.engineId(), failed.weight());
                engineFailed(failed.engineId(), failed.weight());
            }
            case WorkUpdate.EngineSlow slow -> mTracker.recordSlowdown(slow);
        }
    }
}
