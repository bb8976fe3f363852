package org.rattanport.decisions.membership;

import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.jboss.logging.Logger;
import org.rattanport.decisions.environment.DocumentStore;
import org.rattanport.decisions.environment.EnvironmentFollower;
import org.rattanport.kernel.environment.ActiveEnvironments;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.peer.Membership;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.platform.InstanceList;
import org.rattanport.kernel.platform.InstanceList.ListedInstance;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.plugin.TaskGroup;
import org.rattanport.kernel.settings.InstanceSettings;
import org.rattanport.kernel.settings.InstanceSettings.Timings;
import org.rattanport.kernel.settings.LocalAddresses;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/** Provides the cluster membership and keeps the active environment documents up to date. */
public final class MembershipPlugin implements Plugin {
    private static final Logger LOGGER = Logger.getLogger(MembershipPlugin.class);
    private static final int INDIRECT_PROBES = 3;
    private static final int REJOIN_ROUNDS = 5;
    private static final int MAX_JOIN_PEERS = 3;
    private static final int VERSION_FANOUT = 3;
    private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(1);

    private final CompositeDisposable mSubscriptions = new CompositeDisposable();
    private Optional<TaskGroup> mTasks = Optional.empty();

    @Override
    public String name() {
        return "membership";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                InstanceSettings.class,
                InstanceId.class,
                LocalAddresses.class,
                PeerNetwork.class,
                InstanceList.class,
                ActiveEnvironments.class,
                DocumentStore.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(Membership.class, MemberTable.class, RumorHub.class);
    }

    @Override
    public void start(PluginContext context) {
        InstanceSettings settings = context.require(InstanceSettings.class);
        Timings timings = settings.timings();
        TimeSource time = context.time();
        PeerNetwork peers = context.require(PeerNetwork.class);
        ActiveEnvironments activeEnvironments = context.require(ActiveEnvironments.class);
        Random random = new Random();
        RumorQueue rumors = new RumorQueue();
        MemberTable table = new MemberTable(self(context, settings), rumors, context.events());
        RumorHub hub = new RumorHub(rumors);
        EnvironmentFollower follower =
                new EnvironmentFollower(
                        settings.environment(),
                        activeEnvironments,
                        context.require(DocumentStore.class),
                        peers,
                        table,
                        time,
                        random);
        Gossip gossip =
                new Gossip(
                        table,
                        rumors,
                        peers,
                        activeEnvironments,
                        follower::onPeerVersion,
                        hub::receive);
        gossip.registerHandlers(timings.probeTimeout(), time);
        context.provide(Membership.class, table);
        context.provide(MemberTable.class, table);
        context.provide(RumorHub.class, hub);
        join(context.require(InstanceList.class), table, gossip, time, random);
        follower.fetchFromPeers();
        startTasks(timings, time, follower, prober(timings, table, gossip, peers, time, random));
        mTasks.orElseThrow()
                .schedule(
                        "discover-members",
                        timings.listPeriod().multipliedBy(REJOIN_ROUNDS),
                        () ->
                                join(
                                        context.require(InstanceList.class),
                                        table,
                                        gossip,
                                        time,
                                        random));
        readInitialDocument(activeEnvironments, follower);
        mSubscriptions.add(
                activeEnvironments
                        .changes()
                        .subscribe(
                                ignored ->
                                        Tasks.start(
                                                "tell-version",
                                                () ->
                                                        sendVersionToPeers(
                                                                table, gossip, time, random))));
    }

    /**
     * Pings a few members with the new version at once. A member that did not have it fetches it
     * and pings others in turn.
     */
    private static void sendVersionToPeers(
            MemberTable table, Gossip gossip, TimeSource time, Random random) {
        List<Member> others = new ArrayList<>(table.aliveMembers());
        others.removeIf(each -> each.id().equals(table.self().id()));
        Collections.shuffle(others, random);
        others.stream()
                .limit(VERSION_FANOUT)
                .forEach(each -> trySendVersion(each, gossip, Deadline.after(time, JOIN_TIMEOUT)));
    }

    private static void trySendVersion(Member member, Gossip gossip, Deadline deadline) {
        try {
            gossip.ping(member.peerAddress(), deadline);
        } catch (RattanportException e) {
            LOGGER.debugf("cannot send document versions to %s: %s", member.id(), e.getMessage());
        }
    }

    private static Prober prober(
            Timings timings,
            MemberTable table,
            Gossip gossip,
            PeerNetwork peers,
            TimeSource time,
            Random random) {
        int suspicionRounds = (int) timings.suspicionTimeout().dividedBy(timings.probePeriod());
        return new Prober(
                table,
                gossip,
                peers,
                new ProbeSettings(
                        timings.probeTimeout(), INDIRECT_PROBES, suspicionRounds, REJOIN_ROUNDS),
                time,
                random);
    }

    private void startTasks(
            Timings timings, TimeSource time, EnvironmentFollower follower, Prober prober) {
        TaskGroup tasks = new TaskGroup(time);
        tasks.schedule("probe-members", timings.probePeriod(), prober::runRound);
        tasks.schedule("follow-environment", timings.documentPeriod(), follower::pollStore);
        mTasks = Optional.of(tasks);
    }

    private static void readInitialDocument(
            ActiveEnvironments activeEnvironments, EnvironmentFollower follower) {
        if (activeEnvironments.activeVersion(Stage.PRODUCTION) > 0) {
            return;
        }
        try {
            follower.pollStore();
        } catch (RattanportException e) {
            LOGGER.warnf("cannot read the environment document at start: %s", e.getMessage());
        }
    }

    private static Member self(PluginContext context, InstanceSettings settings) {
        LocalAddresses endpoints = context.require(LocalAddresses.class);
        return new Member(
                context.require(InstanceId.class),
                endpoints.callerAddress(),
                endpoints.peerAddress(),
                settings.dataCentre(),
                MemberState.ALIVE,
                0);
    }

    /** Joins through a few randomly chosen listed instances that are not members yet. */
    private static void join(
            InstanceList list, MemberTable table, Gossip gossip, TimeSource time, Random random) {
        List<String> known = table.members().stream().map(Member::peerAddress).toList();
        List<ListedInstance> listed;
        try {
            listed = list.read(Deadline.after(time, JOIN_TIMEOUT)).instances();
        } catch (RattanportException e) {
            LOGGER.warnf("cannot read the instance list: %s", e.getMessage());
            return;
        }
        List<ListedInstance> candidates =
                new ArrayList<>(
                        listed.stream()
                                .filter(each -> !known.contains(each.peerAddress()))
                                .toList());
        Collections.shuffle(candidates, random);
        candidates.stream()
                .limit(MAX_JOIN_PEERS)
                .forEach(each -> tryJoin(each, gossip, Deadline.after(time, JOIN_TIMEOUT)));
    }

    private static void tryJoin(ListedInstance listed, Gossip gossip, Deadline deadline) {
        try {
            gossip.join(listed.peerAddress(), deadline);
        } catch (RattanportException e) {
            LOGGER.debugf("cannot join through instance %s: %s", listed.name(), e.getMessage());
        }
    }

    @Override
    public void stop(Deadline deadline) {
        mSubscriptions.dispose();
        mTasks.ifPresent(TaskGroup::close);
    }
}
