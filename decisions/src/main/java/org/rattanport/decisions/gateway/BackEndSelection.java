package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.rattanport.decisions.gateway.discovery.BackEndRegistry;
import org.rattanport.decisions.gateway.placement.BackEndPlacement;
import org.rattanport.decisions.gateway.placement.Placement;
import org.rattanport.decisions.gateway.placement.PlacementQuery;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.CallerRequest;
import org.rattanport.kernel.gateway.EngineGroup;
import org.rattanport.kernel.gateway.EngineSpec;
import org.rattanport.kernel.gateway.PlacementDemand;
import org.rattanport.kernel.gateway.PromptPart;
import org.rattanport.kernel.gateway.Route;

/** Chooses the back ends for the attempts of one request. */
final class BackEndSelection {
    /**
     * Times that a request is held back for want of a token before it avoids back ends with a rate
     * limit.
     */
    private static final int MAX_HELD_BACK = 3;

    private final GatewayComponents mComponents;
    private final CallerRequest mRequest;
    private final Route mRoute;
    private final BackEndService mService;
    private final RegionRule mRegions;
    private final Set<String> mExcluded = new HashSet<>();
    private int mHeldBack;

    BackEndSelection(
            GatewayComponents components,
            CallerRequest request,
            Route route,
            BackEndService service,
            RegionRule regions) {
        mComponents = components;
        mRequest = request;
        mRoute = route;
        mService = service;
        mRegions = regions;
    }

    /**
     * Places the next attempt; empty if no back end takes it.
     *
     * @param waited how long the request has waited for its placement, if it may wait on
     */
    Optional<Placement> place(Optional<Duration> waited) {
        BackEndPlacement policy =
                mService.engineSpec().isPresent()
                        ? mComponents.promptPlacement()
                        : mComponents.servicePlacement();
        Set<String> excluded = new HashSet<>(mExcluded);
        excluded.addAll(mComponents.registry().refusing(mService.name()));
        mComponents.registry().registered(mService.name()).stream()
                .filter(each -> !mRegions.allows(each))
                .forEach(each -> excluded.add(each.id()));
        if (mHeldBack >= MAX_HELD_BACK) {
            excluded.addAll(avoidableLimited());
        }
        // Cold back ends look idle; without their part of the requests they would get them all.
        Set<String> cold = mComponents.rateLimits().avoidableCold(untried().toList());
        Optional<Placement> warm = Optional.empty();
        if (!cold.isEmpty()) {
            Set<String> excludedOrCold = new HashSet<>(excluded);
            excludedOrCold.addAll(cold);
            warm = policy.place(query(excludedOrCold, waited));
        }
        return warm.filter(each -> each.postponement().isEmpty())
                .or(() -> policy.place(query(excluded, waited)));
    }

    private PlacementQuery query(Set<String> excluded, Optional<Duration> waited) {
        PlacementDemand demand =
                new PlacementDemand(
                        mRequest.attemptId(),
                        mService.name(),
                        EngineGroup.ALL,
                        mRequest.promptSize(),
                        mRoute.latencyObjective(),
                        mRoute.maxEventGap(),
                        retainedParts(),
                        Set.copyOf(excluded));
        return new PlacementQuery(mService, waited.map(demand::waiting).orElse(demand));
    }

    /** The parts of the prompt if the engines of the service retain prompts; none otherwise. */
    private List<PromptPart> retainedParts() {
        return mService.engineSpec().filter(EngineSpec::retainsPrompts).isPresent()
                ? mRequest.promptParts()
                : List.of();
    }

    /** Whether a back end that has not been tried takes requests. */
    boolean hasUntried() {
        return untried().findAny().isPresent();
    }

    private Stream<BackEnd> untried() {
        return mComponents.registry().available(mService.name()).stream()
                .filter(mRegions::allows)
                .filter(each -> !mExcluded.contains(each.id()));
    }

    /** Keeps further attempts from the back end. */
    void exclude(BackEnd backEnd) {
        mExcluded.add(backEnd.id());
    }

    /** Lets further attempts use the back end. */
    void allow(BackEnd backEnd) {
        mExcluded.remove(backEnd.id());
    }

    /** Returns why no back end that the request may run at takes it, if more is known. */
    Optional<RattanportException> refusal() {
        BackEndRegistry registry = mComponents.registry();
        Optional<RattanportException> pause =
                registry.shortestWait(mService.name(), mRegions::allows)
                        .map(ForwardingErrors::noneAccepts);
        if (pause.isPresent()
                || registry.available(mService.name()).stream().anyMatch(mRegions::allows)) {
            return pause;
        }
        List<BackEnd> registered = registry.registered(mService.name());
        List<BackEnd> allowed = registered.stream().filter(mRegions::allows).toList();
        if (allowed.isEmpty() && !registered.isEmpty()) {
            return Optional.of(ForwardingErrors.noneAllowed());
        }
        return allowed.stream().anyMatch(mComponents.evacuated()::isEvacuated)
                ? Optional.of(ForwardingErrors.allEvacuated())
                : Optional.empty();
    }

    /** Checks that the request may run at all engines, of which a coordinator may know others. */
    void requireAllowed(Placement placement) {
        placement
                .engines()
                .filter(each -> !mRegions.allows(each))
                .findFirst()
                .ifPresent(
                        each -> {
                            throw ForwardingErrors.isNotAllowed(each);
                        });
    }

    /**
     * Checks at the moment of writing that the request may be written: an engine that processes a
     * part of it may have left, its data centre may have been evacuated, and the back end may have
     * asked for a pause or begun to leave, since they were chosen, and each engine with a rate
     * limit needs a token.
     */
    void requireAccepting(Placement placement) {
        requireUsable(placement);
        if (!mComponents.notices().accepts(placement.backEnd())) {
            throw ForwardingErrors.wantsNoRequests();
        }
        int urgency = Urgency.of(mRoute.latencyObjective(), placement.isDeferred());
        Optional<BackEnd> held =
                placement
                        .engines()
                        .filter(
                                each ->
                                        !mComponents
                                                .rateLimits()
                                                .tryUse(each, urgency, this::isNoneWarm))
                        .findFirst();
        if (held.isPresent()) {
            mHeldBack = Math.min(MAX_HELD_BACK, mHeldBack + 1);
            throw ForwardingErrors.heldBack(held.get());
        }
        // The owner of a rate limit may have taken its time.
        requireUsable(placement);
        if (!mComponents.notices().tryUse(placement.backEnd())) {
            throw ForwardingErrors.wantsNoRequests();
        }
    }

    private boolean isNoneWarm() {
        return untried().allMatch(mComponents.rateLimits()::isCold);
    }

    /** Checks that no engine has left and none is in an evacuated data centre. */
    private void requireUsable(Placement placement) {
        placement
                .engines()
                .filter(each -> !mComponents.registry().isInUse(each))
                .findFirst()
                .ifPresent(this::rejectLeft);
        placement
                .engines()
                .filter(each -> !mComponents.evacuated().accepts(each))
                .findFirst()
                .ifPresent(
                        each -> {
                            throw ForwardingErrors.isEvacuated(each);
                        });
    }

    private void rejectLeft(BackEnd backEnd) {
        exclude(backEnd);
        throw ForwardingErrors.hasLeft(backEnd);
    }

    /** Placements that do not count, as the request was held back for want of a token. */
    int heldBack() {
        return mHeldBack;
    }

    /** The back ends with a rate limit, unless all that are left have one. */
    private Set<String> avoidableLimited() {
        Map<Boolean, Set<String>> isLimited =
                untried()
                        .collect(
                                Collectors.partitioningBy(
                                        mComponents.rateLimits()::isLimited,
                                        Collectors.mapping(BackEnd::id, Collectors.toSet())));
        return isLimited.get(false).isEmpty() ? Set.of() : isLimited.get(true);
    }
}
