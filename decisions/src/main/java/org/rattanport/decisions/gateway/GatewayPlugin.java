package org.rattanport.decisions.gateway;

import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.rattanport.decisions.lifecycle.Drain;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.decisions.membership.RumorHub;
import org.rattanport.decisions.poison.SuspicionTable;
import org.rattanport.kernel.gateway.AttemptFailure;
import org.rattanport.kernel.gateway.BackEndClient;
import org.rattanport.kernel.gateway.FleetSource;
import org.rattanport.kernel.gateway.GatewaySettings;
import org.rattanport.kernel.gateway.MemoryOrders;
import org.rattanport.kernel.gateway.RequestOutcome;
import org.rattanport.kernel.peer.Membership;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.plugin.Edition;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.settings.InstanceSettings;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/** Provides the forwarding of requests and follows the store. */
public final class GatewayPlugin implements Plugin {
    private Optional<FleetFollower> mFollower = Optional.empty();
    private final CompositeDisposable mWatches = new CompositeDisposable();
    private Optional<PeerNews> mNews = Optional.empty();

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
                MemoryOrders.class,
                RoutingInForce.class,
                PeerNetwork.class,
                RumorHub.class,
                MemberTable.class,
                Drain.class,
                Membership.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(GatewayService.class, BackEndRegister.class, Readiness.class);
    }

    @Override
    public void start(PluginContext context) {
        TimeSource time = context.time();
        GatewaySettings settings = context.require(GatewaySettings.class);
        RoutingInForce routing = context.require(RoutingInForce.class);
        BackEndRegister register = new BackEndRegister(time);
        WorkBook book = new WorkBook(time);
        PeerNews news =
                new PeerNews(
                        book,
                        context.require(MemberTable.class),
                        context.require(PeerNetwork.class),
                        time);
        news.register();
        GatewayService service =
                new GatewayService(parts(context, settings, register, book, news), new Random());
        Readiness readiness =
                new Readiness(
                        routing,
                        register,
                        context.require(MemberTable.class),
                        context.require(Drain.class)::isDraining);
        FleetFollower follower =
                new FleetFollower(
                        context.require(FleetSource.class),
                        routing,
                        register,
                        readiness::update,
                        time);
        Tasks.start("follow-document", follower::followDocument);
        Tasks.start("follow-register", follower::followRegister);
        RequestLog log = new RequestLog(time);
        mWatches.add(context.events().watch(RequestOutcome.class).subscribe(log::ended));
        mWatches.add(context.events().watch(AttemptFailure.class).subscribe(log::failed));
        mFollower = Optional.of(follower);
        mNews = Optional.of(news);
        context.provide(Readiness.class, readiness);
        context.provide(BackEndRegister.class, register);
        context.provide(GatewayService.class, service);
    }

    private static GatewayParts parts(
            PluginContext context,
            GatewaySettings settings,
            BackEndRegister register,
            WorkBook book,
            WorkNews news) {
        TimeSource time = context.time();
        Random random = new Random();
        BackEndHealth health = new BackEndHealth(time);
        LoadBoard loads = new LoadBoard(time);
        Membership membership = context.require(Membership.class);
        String zone = context.require(InstanceSettings.class).dataCentre();
        return new GatewayParts(
                context.require(RoutingInForce.class),
                register,
                new PromptPlacement(register, health, book, PlacementTuning.DEFAULTS, random),
                new LeastLoadedPlacement(zone, register, health, loads, random),
                context.require(BackEndClient.class),
                new MemoryLeases(context.require(MemoryOrders.class), time),
                new OutcomeJudge(
                        health, SuspicionTable.shared(time, context.require(RumorHub.class))),
                loads,
                news,
                book,
                new RepeatAllowance(
                        time,
                        settings.repeatWindow(),
                        settings.repeatRatio(),
                        settings.repeatSlack(),
                        () -> membership.members().size()),
                context.events(),
                time);
    }

    @Override
    public void stop(Deadline deadline) {
        mWatches.dispose();
        mFollower.ifPresent(FleetFollower::close);
        mNews.ifPresent(PeerNews::close);
    }
}
