package org.rattanport.decisions.gateway.explain;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.rattanport.decisions.gateway.discovery.ActiveRouting;
import org.rattanport.decisions.gateway.discovery.BackEndRegistry;
import org.rattanport.decisions.gateway.discovery.RouteTable;
import org.rattanport.decisions.gateway.explain.PlacementExplanation.Engine;
import org.rattanport.decisions.gateway.explain.PlacementExplanation.Group;
import org.rattanport.decisions.gateway.explain.PlacementExplanation.Limit;
import org.rattanport.decisions.gateway.explain.PlacementExplanation.Reason;
import org.rattanport.decisions.gateway.explain.PlacementExplanation.Refusal;
import org.rattanport.decisions.gateway.placement.BackEndHealth;
import org.rattanport.decisions.gateway.placement.CoordinatorDirectory;
import org.rattanport.decisions.gateway.placement.EngineEstimate;
import org.rattanport.decisions.gateway.placement.Placement;
import org.rattanport.decisions.gateway.placement.PlacementQuery;
import org.rattanport.decisions.gateway.placement.PromptPlacement;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.EngineGroup;
import org.rattanport.kernel.gateway.EngineSpec;
import org.rattanport.kernel.gateway.PlacementDemand;
import org.rattanport.kernel.gateway.PromptPart;
import org.rattanport.kernel.gateway.RequestContent;
import org.rattanport.kernel.gateway.Route;
import org.rattanport.kernel.gateway.WeightedService;
import org.rattanport.kernel.model.Fingerprint;
import org.rattanport.kernel.peer.Member;

/**
 * Answers where a prompt would be placed now, from the state of this instance. It sends nothing and
 * records nothing, so that questions do not change the answers.
 */
public final class PlacementExplainer {
    private static final String ATTEMPT_ID = "explain";

    private final ActiveRouting mRouting;
    private final BackEndRegistry mRegistry;
    private final BackEndHealth mHealth;
    private final PromptPlacement mPlacement;
    private final CoordinatorDirectory mDirectory;
    private final Function<RequestContent, Optional<Fingerprint>> mFindBlocked;

    /**
     * Creates an explainer.
     *
     * @param placement a placement without a random cost
     * @param findBlocked returns what makes engines crash of a request, if it has such a part
     */
    public PlacementExplainer(
            ActiveRouting routing,
            BackEndRegistry registry,
            BackEndHealth health,
            PromptPlacement placement,
            CoordinatorDirectory directory,
            Function<RequestContent, Optional<Fingerprint>> findBlocked) {
        mRouting = routing;
        mRegistry = registry;
        mHealth = health;
        mPlacement = placement;
        mDirectory = directory;
        mFindBlocked = findBlocked;
    }

    /**
     * Explains the placement for each service with engines among which the route is split.
     *
     * @throws RattanportException when the route is unknown or has no service with engines
     */
    public List<PlacementExplanation> explain(PlacementQuestion question) {
        RouteTable table = mRouting.require();
        Route route =
                table.document().routes().stream()
                        .filter(each -> each.name().equals(question.route()))
                        .findFirst()
                        .orElseThrow(
                                () ->
                                        new RattanportException(
                                                ErrorCode.NOT_FOUND,
                                                "the document has no route " + question.route()));
        List<PlacementExplanation> explanations =
                route.services().stream()
                        .map(WeightedService::service)
                        .flatMap(name -> table.service(name).stream())
                        .filter(service -> service.engineSpec().isPresent())
                        .map(service -> explain(question, table, route, service))
                        .toList();
        if (explanations.isEmpty()) {
            throw new RattanportException(
                    ErrorCode.INVALID_REQUEST,
                    "the route " + route.name() + " has no service with engines");
        }
        return explanations;
    }

    private PlacementExplanation explain(
            PlacementQuestion question, RouteTable table, Route route, BackEndService service) {
        List<BackEnd> all = mRegistry.all(service.name());
        int groupCount =
                CoordinatorDirectory.groupCount(mRegistry.available(service.name()).size());
        List<PlacementQuery> queries =
                IntStream.range(0, groupCount)
                        .mapToObj(
                                i ->
                                        query(
                                                question,
                                                route,
                                                service,
                                                new EngineGroup(i, groupCount)))
                        .toList();
        List<Group> groups = queries.stream().map(this::group).toList();
        List<Engine> engines = new ArrayList<>();
        for (BackEnd each : all) {
            int index = EngineGroup.indexOf(each.id(), groupCount);
            engines.add(engine(each, queries.get(index), groups.get(index), all));
        }
        return new PlacementExplanation(
                service.name(),
                table.document().version(),
                refusal(question, table, route, service, engines),
                groups,
                engines);
    }

    private static PlacementQuery query(
            PlacementQuestion question, Route route, BackEndService service, EngineGroup group) {
        boolean isRetained = service.engineSpec().filter(EngineSpec::retainsPrompts).isPresent();
        return new PlacementQuery(
                service,
                new PlacementDemand(
                        ATTEMPT_ID,
                        service.name(),
                        group,
                        Optional.of(question.size()),
                        route.latencyObjective(),
                        route.maxEventGap(),
                        isRetained ? question.parts() : List.of(),
                        question.excluded()));
    }

    private Group group(PlacementQuery query) {
        EngineGroup group = query.demand().group();
        Optional<Member> coordinator =
                mDirectory.candidates(query.service().name(), group).stream().findFirst();
        return new Group(
                group.index(),
                coordinator.map(each -> each.id().name()).orElse("-"),
                coordinator.filter(mDirectory::isSelf).isPresent(),
                mPlacement.place(query));
    }

    private Engine engine(BackEnd engine, PlacementQuery query, Group group, List<BackEnd> all) {
        EngineEstimate estimate = mPlacement.estimate(query, engine);
        List<String> gates = mRegistry.refusalReasons(engine);
        Reason reason = reason(engine, query, group, estimate, gates);
        String detail =
                switch (reason) {
                    case GATE -> String.join(", ", gates);
                    case UNHEALTHY ->
                            String.format(
                                    Locale.ROOT,
                                    "failure weight %.1f",
                                    mHealth.failureWeight(engine.id()));
                    default -> "";
                };
        return new Engine(
                engine.id(), engine.dataCentre(), group.index(), reason, detail, estimate);
    }

    private Reason reason(
            BackEnd engine,
            PlacementQuery query,
            Group group,
            EngineEstimate estimate,
            List<String> gates) {
        Optional<Placement> placement = group.placement();
        if (placement.filter(each -> each.backEnd().equals(engine)).isPresent()) {
            return Reason.CHOSEN;
        }
        if (placement.filter(each -> each.prefillEngines().contains(engine)).isPresent()) {
            return Reason.PREFILLS_PART;
        }
        if (engine.isDraining()) {
            return Reason.LEAVING;
        }
        if (!gates.isEmpty()) {
            return Reason.GATE;
        }
        if (query.demand().excluded().contains(engine.id())) {
            return Reason.EXCLUDED;
        }
        boolean isChosenHealthy =
                placement.filter(each -> !mHealth.isUnhealthy(each.backEnd().id())).isPresent();
        if (isChosenHealthy && mHealth.isUnhealthy(engine.id())) {
            return Reason.UNHEALTHY;
        }
        if (!estimate.hasSlot()) {
            return Reason.FULL;
        }
        return estimate.hasMemory() ? Reason.DEARER : Reason.NO_MEMORY;
    }

    private Optional<Refusal> refusal(
            PlacementQuestion question,
            RouteTable table,
            Route route,
            BackEndService service,
            List<Engine> engines) {
        if (table.hasAccounts() && !route.isPublic() && !isKnown(question.account(), table)) {
            return refusal(Limit.ACCOUNT, "the account is unknown and the route is not public");
        }
        Optional<String> blocked = blockedPart(question.parts());
        if (blocked.isPresent()) {
            return refusal(
                    Limit.CRASHING_PART,
                    "engines crashed while running prompts with the part " + blocked.get());
        }
        if (engines.isEmpty()) {
            return refusal(Limit.NO_ENGINE, "no engine of the service is registered");
        }
        Set<Reason> unusable = Set.of(Reason.GATE, Reason.LEAVING, Reason.EXCLUDED);
        if (!engines.stream().allMatch(each -> unusable.contains(each.reason()))) {
            return Optional.empty();
        }
        if (engines.stream().noneMatch(each -> each.reason() == Reason.GATE)) {
            return refusal(Limit.EXCLUDED, "each engine is excluded or leaves");
        }
        return Optional.of(
                new Refusal(
                        Limit.GATES,
                        "each engine is kept from requests; see the reasons of the engines",
                        mRegistry.shortestWait(service.name())));
    }

    /** The id of the part that makes engines crash; the last part is in no other prompt. */
    private Optional<String> blockedPart(List<PromptPart> parts) {
        List<String> ids =
                parts.stream().limit(Math.max(0, parts.size() - 1)).map(PromptPart::id).toList();
        List<Fingerprint> shared = ids.stream().map(id -> Fingerprint.of("part", id)).toList();
        return mFindBlocked
                .apply(new RequestContent(Fingerprint.of(ATTEMPT_ID), shared))
                .map(shared::indexOf)
                .filter(index -> index >= 0)
                .map(ids::get);
    }

    private static boolean isKnown(Optional<String> account, RouteTable table) {
        return account.filter(
                        name ->
                                table.document().accounts().stream()
                                        .anyMatch(each -> each.name().equals(name)))
                .isPresent();
    }

    private static Optional<Refusal> refusal(Limit limit, String message) {
        return Optional.of(new Refusal(limit, message, Optional.empty()));
    }
}
