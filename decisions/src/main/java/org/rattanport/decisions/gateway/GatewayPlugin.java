package org.rattanport.decisions.gateway;

import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.rattanport.kernel.gateway.BackEndClient;
import org.rattanport.kernel.gateway.FleetSource;
import org.rattanport.kernel.gateway.GatewaySettings;
import org.rattanport.kernel.peer.Membership;
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
                RoutingInForce.class,
                Membership.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(GatewayService.class, BackEndRegister.class);
    }

    @Override
    public void start(PluginContext context) {
        TimeSource time = context.time();
        GatewaySettings settings = context.require(GatewaySettings.class);
        RoutingInForce routing = context.require(RoutingInForce.class);
        BackEndRegister register = new BackEndRegister(time);
        GatewayService service =
                new GatewayService(parts(context, settings, register), new Random());
        FleetFollower follower =
                new FleetFollower(context.require(FleetSource.class), routing, register, time);
        Tasks.start("follow-document", follower::followDocument);
        Tasks.start("follow-register", follower::followRegister);
        mFollower = Optional.of(follower);
        context.provide(BackEndRegister.class, register);
        context.provide(GatewayService.class, service);
    }

    private static GatewayParts parts(
            PluginContext context, GatewaySettings settings, BackEndRegister register) {
        TimeSource time = context.time();
        Random random = new Random();
        BackEndHealth health = new BackEndHealth(time);
        LoadBoard loads = new LoadBoard(time);
        WorkBook book = new WorkBook(time);
        Membership membership = context.require(Membership.class);
        String zone = context.require(InstanceSettings.class).dataCentre();
        return new GatewayParts(
                context.require(RoutingInForce.class),
                register,
                new PromptPlacement(register, health, book, PlacementTuning.DEFAULTS, random),
                new LeastLoadedPlacement(zone, register, health, loads, random),
                context.require(BackEndClient.class),
                health,
                loads,
                new LocalNews(book),
                new RepeatAllowance(
                        time,
                        settings.repeatWindow(),
                        settings.repeatRatio(),
                        settings.repeatSlack(),
                        () -> membership.members().size()),
                time);
    }

    @Override
    public void stop(Deadline deadline) {
        mFollower.ifPresent(FleetFollower::close);
    }
}
