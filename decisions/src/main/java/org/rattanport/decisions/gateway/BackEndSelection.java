package org.rattanport.decisions.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.CallerRequest;
import org.rattanport.kernel.gateway.EngineGroup;
import org.rattanport.kernel.gateway.PlacementDemand;
import org.rattanport.kernel.gateway.Route;

/** Chooses the back ends for the attempts of one request. */
final class BackEndSelection {
    private final GatewayComponents mComponents;
    private final CallerRequest mRequest;
    private final Route mRoute;
    private final BackEndService mService;
    private final Set<String> mExcluded = new HashSet<>();

    BackEndSelection(
            GatewayComponents components,
            CallerRequest request,
            Route route,
            BackEndService service) {
        mComponents = components;
        mRequest = request;
        mRoute = route;
        mService = service;
    }

    /** Places the next attempt; empty if no back end takes it. */
    Optional<Placement> place() {
        BackEndPlacement policy =
                mService.engineSpec().isPresent()
                        ? mComponents.promptPlacement()
                        : mComponents.servicePlacement();
        Set<String> excluded = new HashSet<>(mExcluded);
        excluded.addAll(mComponents.registry().refusing(mService.name()));
        PlacementDemand demand =
                new PlacementDemand(
                        mRequest.attemptId(),
                        mService.name(),
                        EngineGroup.ALL,
                        mRequest.promptSize(),
                        mRoute.latencyObjective(),
                        mRoute.maxEventGap(),
                        Set.copyOf(excluded));
        return policy.place(new PlacementQuery(mService, demand));
    }

    /** Keeps further attempts from the back end. */
    void exclude(BackEnd backEnd) {
        mExcluded.add(backEnd.id());
    }

    /** Lets further attempts use the back end. */
    void allow(BackEnd backEnd) {
        mExcluded.remove(backEnd.id());
    }

    /**
     * Checks at the moment of writing that the request may be written: the back end may have asked
     * for a pause, or begun to leave, since it was chosen, and each engine with a rate limit that
     * processes a part of the request needs a token.
     */
    void requireAccepting(Placement placement) {
        if (!mComponents.notices().accepts(placement.backEnd())) {
            throw ForwardingErrors.wantsNoRequests();
        }
        int urgency = Urgency.of(mRoute.latencyObjective());
        Optional<BackEnd> held =
                placement
                        .engines()
                        .filter(each -> !mComponents.rateLimits().tryUse(each, urgency))
                        .findFirst();
        if (held.isPresent()) {
            throw ForwardingErrors.heldBack(held.get());
        }
        if (!mComponents.notices().tryUse(placement.backEnd())) {
            throw ForwardingErrors.wantsNoRequests();
        }
    }
}
