package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.IntStream;
import org.rattanport.decisions.gateway.discovery.BackEndRegistry;
import org.rattanport.decisions.gateway.discovery.EvacuatedDataCentres;
import org.rattanport.decisions.gateway.limits.BackEndNotices;
import org.rattanport.decisions.gateway.limits.RateLimitInstance;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.CallerLimits;
import org.rattanport.kernel.gateway.CallerRequest;
import org.rattanport.kernel.gateway.EngineGroup;
import org.rattanport.kernel.gateway.EngineSpec;
import org.rattanport.kernel.gateway.Evacuations;
import org.rattanport.kernel.gateway.GatewayAccount;
import org.rattanport.kernel.gateway.PlacementDemand;
import org.rattanport.kernel.gateway.PromptPart;
import org.rattanport.kernel.gateway.PromptSize;
import org.rattanport.kernel.gateway.Route;
import org.rattanport.kernel.gateway.RouteKind;
import org.rattanport.kernel.gateway.RoutingDocument;
import org.rattanport.kernel.gateway.StoreChange.Origin;
import org.rattanport.kernel.gateway.StorePosition;
import org.rattanport.kernel.gateway.WeightedService;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.time.TimeSource;

/** Back ends, documents and requests for tests of the gateway's decisions. */
public final class TestFleet {
    public static final String ENGINES = "engines";
    public static final String CALLS = "calls";

    public static final EngineSpec ENGINE_SPEC =
            new EngineSpec(8, 450_000, 46, 0.925, 0.007, 0.0025, 256, 0.0917);

    /** Engines that retain prompts, otherwise like the others. */
    public static final EngineSpec RETAINING_SPEC =
            new EngineSpec(8, 450_000, 46, 0.925, 0.007, 0.0025, 256, 0.0917, true);

    private TestFleet() {}

    /** A registry of back ends that say nothing about themselves. */
    public static BackEndRegistry registry(TimeSource time) {
        return new BackEndRegistry(time, new BackEndNotices(time, notice -> {}, rumor -> {}));
    }

    /** Evacuations that were read, and are none. */
    public static EvacuatedDataCentres evacuated(TimeSource time) {
        EvacuatedDataCentres evacuated = new EvacuatedDataCentres("a", change -> {}, time);
        evacuated.record(new Evacuations(new StorePosition(1, 0), Set.of()), Origin.STORE);
        return evacuated;
    }

    /** The rate limits that a fleet of one instance keeps. */
    public static RateLimitInstance rateLimits(TimeSource time) {
        return new RateLimitInstance(
                new PeerHub().networkOf("a:peer"),
                new Member(
                        new InstanceId("a", 1), "a:caller", "a:peer", "zone", MemberState.ALIVE, 0),
                time,
                1);
    }

    public static BackEnd backEnd(String id, String service, boolean isDraining) {
        return new BackEnd(id, 1, service, "10.0.0.1:" + id.hashCode(), "zone", 8, isDraining);
    }

    public static List<BackEnd> engines(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> backEnd("engine-" + i, ENGINES, false))
                .toList();
    }

    public static BackEndService engineService() {
        return new BackEndService(ENGINES, 100, Optional.of(ENGINE_SPEC));
    }

    /** Returns a route to the service that fits its kind. */
    public static Route route(String host, String prefix, RouteKind kind) {
        boolean isStream = kind == RouteKind.STREAMING;
        return new Route(
                "route" + prefix,
                host,
                prefix,
                List.of(new WeightedService(isStream ? ENGINES : CALLS, 1)),
                kind,
                Duration.ofSeconds(5),
                Duration.ofMillis(300),
                isStream || kind == RouteKind.IDEMPOTENT ? 2 : 1,
                1,
                false,
                isStream,
                Duration.ofMillis(200));
    }

    /** Returns the route with a list of the regions that it allows. */
    public static Route inRegions(Route route, String... regions) {
        return new Route(
                route.name(),
                route.host(),
                route.pathPrefix(),
                route.services(),
                route.kind(),
                route.timeout(),
                route.latencyObjective(),
                route.maxAttempts(),
                route.priority(),
                route.isPublic(),
                route.isResumable(),
                route.maxEventGap(),
                Set.of(regions));
    }

    public static RoutingDocument document(long version, Route... routes) {
        return new RoutingDocument(
                version,
                List.of(routes),
                List.of(engineService(), new BackEndService(CALLS, 100, Optional.empty())),
                List.of(new GatewayAccount("account", Set.of("key"), OptionalInt.empty())),
                CallerLimits.DEFAULTS);
    }

    /** A prompt to place at the engines; zero tokens for one without a declared size. */
    public static PlacementDemand demand(
            int promptTokens, Duration objective, Duration maxGap, String... excluded) {
        return new PlacementDemand(
                "attempt-" + promptTokens,
                ENGINES,
                EngineGroup.ALL,
                promptTokens == 0
                        ? Optional.empty()
                        : Optional.of(new PromptSize(promptTokens, 1_500)),
                objective,
                maxGap,
                Set.of(excluded));
    }

    /** A prompt that consists of these parts, at engines that retain prompts. */
    public static PlacementDemand demand(
            String attemptId,
            List<PromptPart> parts,
            Duration objective,
            Duration maxGap,
            String... excluded) {
        return new PlacementDemand(
                attemptId,
                ENGINES,
                EngineGroup.ALL,
                Optional.of(
                        new PromptSize(parts.stream().mapToInt(PromptPart::tokens).sum(), 1_500)),
                objective,
                maxGap,
                parts,
                Set.of(excluded));
    }

    static CallerRequest request(String path, int promptTokens) {
        return request(path, promptTokens, List.of());
    }

    static CallerRequest request(String path, List<String> sharedParts) {
        return request(path, 0, sharedParts);
    }

    /** A request of a caller that has the events up to this one. */
    static CallerRequest resumingRequest(String path, String lastEventId) {
        CallerRequest request = request(path, 0);
        return new CallerRequest(
                request.method(),
                request.requestTarget(),
                request.host(),
                request.attemptId(),
                request.accountKey(),
                request.waitLimit(),
                request.promptSize(),
                request.sharedParts(),
                Optional.of(lastEventId),
                request.headers(),
                request.body());
    }

    private static CallerRequest request(String path, int promptTokens, List<String> sharedParts) {
        return new CallerRequest(
                "POST",
                path,
                "host",
                "attempt-" + path + promptTokens,
                Optional.of("key"),
                Optional.of(Duration.ofSeconds(3)),
                promptTokens == 0
                        ? Optional.empty()
                        : Optional.of(new PromptSize(promptTokens, 1_500)),
                sharedParts,
                Optional.empty(),
                List.of(),
                new byte[0]);
    }
}
