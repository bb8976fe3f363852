package org.rattanport.decisions.gateway;

import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import org.rattanport.decisions.gateway.discovery.ActiveRouting;
import org.rattanport.decisions.gateway.discovery.BackEndRegistry;
import org.rattanport.decisions.gateway.discovery.EvacuatedDataCentres;
import org.rattanport.decisions.gateway.discovery.FleetFollower;
import org.rattanport.decisions.gateway.discovery.FleetState;
import org.rattanport.decisions.gateway.discovery.ReaderFollower;
import org.rattanport.decisions.gateway.discovery.ReaderRole;
import org.rattanport.decisions.gateway.discovery.StoreReaders;
import org.rattanport.decisions.gateway.explain.PlacementExplainer;
import org.rattanport.decisions.gateway.limits.BackEndNotices;
import org.rattanport.decisions.gateway.limits.BackEndRateLimits;
import org.rattanport.decisions.gateway.limits.ColdBackEnds;
import org.rattanport.decisions.gateway.limits.ColdRules;
import org.rattanport.decisions.gateway.limits.FleetView;
import org.rattanport.decisions.gateway.limits.MissingMembers;
import org.rattanport.decisions.gateway.limits.RateLimitOwner;
import org.rattanport.decisions.gateway.limits.RateLimitPeers;
import org.rattanport.decisions.gateway.limits.RateLimitTable;
import org.rattanport.decisions.gateway.placement.BackEndHealth;
import org.rattanport.decisions.gateway.placement.CoordinatedPlacement;
import org.rattanport.decisions.gateway.placement.CoordinatorDirectory;
import org.rattanport.decisions.gateway.placement.LeastLoadedPlacement;
import org.rattanport.decisions.gateway.placement.LoadTable;
import org.rattanport.decisions.gateway.placement.MemoryLeases;
import org.rattanport.decisions.gateway.placement.PlacementCoordinator;
import org.rattanport.decisions.gateway.placement.PlacementTuning;
import org.rattanport.decisions.gateway.placement.PromptPlacement;
import org.rattanport.decisions.gateway.placement.RememberedPrompts;
import org.rattanport.decisions.gateway.placement.RetainedPrompts;
import org.rattanport.decisions.gateway.placement.WorkTracker;
import org.rattanport.decisions.gateway.placement.WorkUpdateSender;
import org.rattanport.decisions.lifecycle.Drain;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.decisions.membership.RumorHub;
import org.rattanport.decisions.poison.CrashAttribution;
import org.rattanport.kernel.gateway.AttemptFailure;
import org.rattanport.kernel.gateway.BackEndClient;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.EngineMemoryClient;
import org.rattanport.kernel.gateway.FleetSource;
import org.rattanport.kernel.gateway.GatewaySettings;
import org.rattanport.kernel.gateway.PlacementPostponed;
import org.rattanport.kernel.gateway.RequestOutcome;
import org.rattanport.kernel.gateway.UnansweredExchange;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.peer.Membership;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.plugin.Edition;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.settings.InstanceSettings;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/** Provides the forwarding of requests and starts the tasks that follow the store. */
public final class GatewayPlugin implements Plugin {
    private Optional<FleetFollower> mFollower = Optional.empty();
    private final CompositeDisposable mSubscriptions = new CompositeDisposable();
    private Optional<WorkUpdateSender> mUpdateSender = Optional.empty();

    @Override
    public String name() {
        return "gateway";
    }

    @Override
    public Set<Edition> editions() {
        return Set.of(Edition.GATEWAY);
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                InstanceSettings.class,
                GatewaySettings.class,
                FleetSource.class,
                BackEndClient.class,
                EngineMemoryClient.class,
                ActiveRouting.class,
                PeerNetwork.class,
                RumorHub.class,
                MemberTable.class,
                MemberSearch.class,
                Drain.class,
                Membership.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(
                FleetState.class,
                GatewayService.class,
                BackEndRegistry.class,
                Readiness.class,
                PlacementExplainer.class);
    }

    @Override
    public void start(PluginContext context) {
        TimeSource time = context.time();
        GatewaySettings settings = context.require(GatewaySettings.class);
        ActiveRouting routing = context.require(ActiveRouting.class);
        BackEndNotices notices =
                BackEndNotices.withRumors(
                        time, context.events()::publish, context.require(RumorHub.class));
        BackEndRateLimits rateLimits = rateLimits(context);
        EvacuatedDataCentres evacuated =
                new EvacuatedDataCentres(
                        context.require(InstanceSettings.class).instanceName(),
                        context.events()::publish,
                        time);
        BackEndRegistry registry = new BackEndRegistry(time, notices, rateLimits, evacuated);
        RetainedPrompts retained = new RememberedPrompts(time);
        WorkTracker tracker = new WorkTracker(time, registry::findAvailable, retained::recordEnded);
        BackEndHealth health = new BackEndHealth(time);
        GatewayComponents components =
                components(
                        context,
                        settings,
                        registry,
                        evacuated,
                        notices,
                        rateLimits,
                        health,
                        placement(context, registry, health, tracker, retained));
        GatewayService service = new GatewayService(components, new Random());
        Readiness readiness =
                new Readiness(
                        routing,
                        registry,
                        evacuated,
                        context.require(MemberTable.class),
                        context.require(Drain.class)::isDraining);
        FleetState state =
                new FleetState(
                        routing,
                        registry,
                        evacuated,
                        readiness::update,
                        context.events()::publish,
                        time);
        mFollower = Optional.of(startFollowing(context, state));
        subscribeLog(context);
        context.provide(FleetState.class, state);
        context.provide(Readiness.class, readiness);
        context.provide(BackEndRegistry.class, registry);
        context.provide(GatewayService.class, service);
        context.provide(
                PlacementExplainer.class,
                explainer(context, components, health, tracker, retained));
    }

    private static PlacementExplainer explainer(
            PluginContext context,
            GatewayComponents components,
            BackEndHealth health,
            WorkTracker tracker,
            RetainedPrompts retained) {
        return new PlacementExplainer(
                components.routing(),
                components.registry(),
                health,
                new PromptPlacement(
                        components.registry(),
                        health,
                        tracker,
                        PlacementTuning.DEFAULTS.withoutJitter(),
                        new Random(),
                        retained),
                new CoordinatorDirectory(context.require(MemberTable.class), context.time()),
                components.outcomes()::findBlocked);
    }

    private void subscribeLog(PluginContext context) {
        RequestLog log = new RequestLog(context.time());
        mSubscriptions.add(
                context.events().stream(RequestOutcome.class).subscribe(log::logOutcome));
        mSubscriptions.add(
                context.events().stream(AttemptFailure.class).subscribe(log::logFailure));
        mSubscriptions.add(
                context.events().stream(UnansweredExchange.class).subscribe(log::logUnanswered));
        mSubscriptions.add(
                context.events().stream(PlacementPostponed.class).subscribe(log::logPostponement));
    }

    private BackEndRateLimits rateLimits(PluginContext context) {
        TimeSource time = context.time();
        PeerNetwork peers = context.require(PeerNetwork.class);
        GatewaySettings settings = context.require(GatewaySettings.class);
        CoordinatorDirectory directory =
                new CoordinatorDirectory(context.require(MemberTable.class), time);
        MissingMembers missing = new MissingMembers(time);
        RateLimitTable table = new RateLimitTable(time, context.events()::publish);
        RateLimitPeers owners = new RateLimitPeers(peers, directory, table, time);
        ColdRules cold =
                new ColdRules(
                        coldBackEnds(context),
                        settings.coldBound(),
                        new FleetView(
                                directory,
                                missing,
                                settings.memberSeeds(),
                                context.require(MemberSearch.class)::isComplete));
        RateLimitOwner owner =
                new RateLimitOwner(table, directory, owners, cold, time, new Random());
        owner.registerHandlers(peers);
        Membership membership = context.require(Membership.class);
        mSubscriptions.add(
                membership
                        .memberChanges()
                        .doOnNext(missing::recordChange)
                        .filter(member -> owner.ownedLimits() > 0)
                        .subscribe(
                                member ->
                                        Tasks.start(
                                                "hand-over-rate-limits",
                                                () -> owner.membersChanged(member))));
        membership.aliveMembers().forEach(missing::recordChange);
        return new BackEndRateLimits(
                table,
                owner,
                directory,
                owners,
                cold,
                report -> Tasks.start("report-rate-limit", report),
                context.events()::publish,
                time,
                new Random());
    }

    private static ColdBackEnds coldBackEnds(PluginContext context) {
        ActiveRouting routing = context.require(ActiveRouting.class);
        return new ColdBackEnds(
                context.time(),
                service ->
                        routing.current()
                                .flatMap(table -> table.service(service))
                                .map(BackEndService::coldRequestsPerSecond)
                                .orElse(0.0),
                context.events()::publish);
    }

    private CoordinatedPlacement placement(
            PluginContext context,
            BackEndRegistry registry,
            BackEndHealth health,
            WorkTracker tracker,
            RetainedPrompts retained) {
        TimeSource time = context.time();
        PeerNetwork peers = context.require(PeerNetwork.class);
        PlacementCoordinator coordinator =
                new PlacementCoordinator(
                        context.require(ActiveRouting.class),
                        new PromptPlacement(
                                registry,
                                health,
                                tracker,
                                PlacementTuning.DEFAULTS,
                                new Random(),
                                retained),
                        tracker,
                        health,
                        retained);
        coordinator.registerHandlers(peers);
        WorkUpdateSender sender = new WorkUpdateSender(peers, time);
        mUpdateSender = Optional.of(sender);
        return new CoordinatedPlacement(
                registry,
                coordinator,
                new CoordinatorDirectory(context.require(MemberTable.class), time),
                tracker,
                peers,
                sender,
                context.events()::publish,
                time,
                new Random());
    }

    private static FleetFollower startFollowing(PluginContext context, FleetState state) {
        TimeSource time = context.time();
        FleetSource source = context.require(FleetSource.class);
        ReaderRole role = new ReaderRole();
        ReaderFollower readers =
                new ReaderFollower(
                        new StoreReaders(context.require(MemberTable.class)),
                        role,
                        state,
                        source,
                        context.require(PeerNetwork.class),
                        context.require(GatewaySettings.class).isFirstStart(),
                        time);
        readers.registerHandler();
        FleetFollower follower = new FleetFollower(source, state, role, time, new Random());
        Tasks.start("follow-readers", readers::followUntilClosed);
        Tasks.start("follow-document", follower::followDocument);
        Tasks.start("follow-register", follower::followRegistry);
        return follower;
    }

    private GatewayComponents components(
            PluginContext context,
            GatewaySettings settings,
            BackEndRegistry registry,
            EvacuatedDataCentres evacuated,
            BackEndNotices notices,
            BackEndRateLimits rateLimits,
            BackEndHealth health,
            CoordinatedPlacement placement) {
        TimeSource time = context.time();
        LoadTable loadTable = new LoadTable(time);
        Membership membership = context.require(Membership.class);
        String dataCentre = context.require(InstanceSettings.class).dataCentre();
        CrashAttribution crashes =
                CrashAttribution.withRumors(time, context.require(RumorHub.class), new Random());
        mSubscriptions.add(
                membership
                        .memberChanges()
                        .filter(member -> member.state() == MemberState.ALIVE)
                        .filter(member -> !member.id().equals(membership.self().id()))
                        .subscribe(member -> crashes.retell()));
        return new GatewayComponents(
                context.require(ActiveRouting.class),
                registry,
                evacuated,
                notices,
                rateLimits,
                placement,
                new LeastLoadedPlacement(dataCentre, registry, health, loadTable, new Random()),
                context.require(BackEndClient.class),
                new MemoryLeases(context.require(EngineMemoryClient.class), evacuated, time),
                new OutcomeRecorder(health, crashes),
                loadTable,
                placement,
                new ServiceRetryBudget(
                        time,
                        settings.retryBudgetWindow(),
                        settings.retryBudgetRatio(),
                        settings.retryBudgetSlack(),
                        () -> instances(context)),
                settings.regions(),
                context.events(),
                time);
    }

    /** The number of instances; empty while this instance cannot tell whether it is alone. */
    private static OptionalInt instances(PluginContext context) {
        return context.require(MemberSearch.class).isComplete()
                ? OptionalInt.of(context.require(Membership.class).members().size())
                : OptionalInt.empty();
    }

    @Override
    public void stop(Deadline deadline) {
        mSubscriptions.dispose();
        mFollower.ifPresent(FleetFollower::close);
        mUpdateSender.ifPresent(WorkUpdateSender::close);
    }
}
