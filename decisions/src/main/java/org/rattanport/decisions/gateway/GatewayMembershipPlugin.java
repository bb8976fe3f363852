package org.rattanport.decisions.gateway;

import io.reactivex.rxjava3.disposables.Disposable;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.rattanport.decisions.gateway.discovery.ActiveRouting;
import org.rattanport.decisions.gateway.discovery.RoutingVersions;
import org.rattanport.decisions.gateway.discovery.StoreReaders;
import org.rattanport.decisions.membership.Gossip;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.decisions.membership.ProbeSettings;
import org.rattanport.decisions.membership.Prober;
import org.rattanport.decisions.membership.RumorHub;
import org.rattanport.decisions.membership.RumorPusher;
import org.rattanport.decisions.membership.RumorQueue;
import org.rattanport.kernel.gateway.GatewaySettings;
import org.rattanport.kernel.gateway.MemberDirectory;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.peer.Membership;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.plugin.Edition;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.plugin.TaskGroup;
import org.rattanport.kernel.settings.InstanceSettings;
import org.rattanport.kernel.settings.InstanceSettings.Timings;
import org.rattanport.kernel.settings.LocalAddresses;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Provides the membership of gateway instances, which discover each other through seeds and the
 * directory.
 */
public final class GatewayMembershipPlugin implements Plugin {
    private static final int INDIRECT_PROBES = 2;
    private static final int REJOIN_ROUNDS = 5;

    private Optional<TaskGroup> mTasks = Optional.empty();
    private Disposable mSettingsSubscription = Disposable.disposed();
    private Disposable mLostPeersSubscription = Disposable.disposed();

    @Override
    public String name() {
        return "gateway-membership";
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
                InstanceId.class,
                LocalAddresses.class,
                MemberDirectory.class,
                PeerNetwork.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(
                Membership.class,
                MemberTable.class,
                MemberSearch.class,
                RumorHub.class,
                ActiveRouting.class);
    }

    @Override
    public void start(PluginContext context) {
        Timings timings = context.require(InstanceSettings.class).timings();
        TimeSource time = context.time();
        PeerNetwork peers = context.require(PeerNetwork.class);
        ActiveRouting routing = new ActiveRouting(context.events());
        RumorQueue rumors = new RumorQueue();
        MemberTable table = new MemberTable(self(context), rumors, context.events());
        RumorHub rumorHub = new RumorHub(rumors);
        Gossip gossip =
                new Gossip(
                        table,
                        rumors,
                        peers,
                        new RoutingVersions(routing),
                        (peer, stage, version) -> {},
                        rumorHub::receive);
        gossip.registerHandlers(timings.probeTimeout(), time);
        context.provide(ActiveRouting.class, routing);
        context.provide(Membership.class, table);
        context.provide(MemberTable.class, table);
        context.provide(RumorHub.class, rumorHub);
        int suspicionRounds = (int) timings.suspicionTimeout().dividedBy(timings.probePeriod());
        Prober prober =
                new Prober(
                        table,
                        gossip,
                        peers,
                        new ProbeSettings(
                                timings.probeTimeout(),
                                INDIRECT_PROBES,
                                suspicionRounds,
                                REJOIN_ROUNDS),
                        time,
                        new Random());
        MemberSearch search =
                new MemberSearch(
                        context.require(GatewaySettings.class).memberSeeds(),
                        context.require(MemberDirectory.class),
                        table,
                        gossip,
                        new StoreReaders(table)::isReader,
                        time);
        context.provide(MemberSearch.class, search);
        mSettingsSubscription =
                context.events().stream(GatewaySettings.class)
                        .subscribe(settings -> search.setSeeds(settings.memberSeeds()));
        TaskGroup tasks = new TaskGroup(time);
        tasks.schedule("probe-members", timings.probePeriod(), prober::runRound);
        tasks.schedule("join-members", timings.listPeriod(), search::runRound);
        mTasks = Optional.of(tasks);
        rumorHub.setPush(new RumorPusher(prober, time)::requestPush);
        mLostPeersSubscription = peers.lostPeers().subscribe(prober::probeLostPeer);
    }

    private static Member self(PluginContext context) {
        LocalAddresses endpoints = context.require(LocalAddresses.class);
        return new Member(
                context.require(InstanceId.class),
                endpoints.callerAddress(),
                endpoints.peerAddress(),
                context.require(InstanceSettings.class).dataCentre(),
                // Keeps callers away until this instance has a routing document and the registry.
                MemberState.LEAVING,
                0,
                context.require(GatewaySettings.class).capacityMillicores());
    }

    @Override
    public void stop(Deadline deadline) {
        mSettingsSubscription.dispose();
        mLostPeersSubscription.dispose();
        mTasks.ifPresent(TaskGroup::close);
    }
}
