package org.rattanport.decisions.target;

import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.jboss.logging.Logger;
import org.rattanport.decisions.membership.RumorHub;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Rumor.TargetDraining;
import org.rattanport.kernel.platform.InstanceList;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.plugin.TaskGroup;
import org.rattanport.kernel.settings.InstanceSettings;
import org.rattanport.kernel.target.EngineClient;
import org.rattanport.kernel.time.Deadline;

/** Provides the target directory and the load estimates of engines. */
public final class TargetPlugin implements Plugin {
    private static final Logger LOGGER = Logger.getLogger(TargetPlugin.class);
    private static final Duration LIST_TIMEOUT = Duration.ofSeconds(2);

    private final CompositeDisposable mSubscriptions = new CompositeDisposable();
    private Optional<TaskGroup> mTasks = Optional.empty();
    private Optional<EngineLoadPoller> mPoller = Optional.empty();

    @Override
    public String name() {
        return "targets";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                InstanceSettings.class,
                InstanceId.class,
                InstanceList.class,
                EngineClient.class,
                RumorHub.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(TargetDirectory.class, EngineLoadTable.class, TargetSubset.class);
    }

    @Override
    public void start(PluginContext context) {
        InstanceSettings settings = context.require(InstanceSettings.class);
        RumorHub hub = context.require(RumorHub.class);
        TargetDirectory directory =
                new TargetDirectory(
                        new TargetHealth(context.time()), context.events(), hub::spread);
        EngineLoadTable engineLoads = new EngineLoadTable(context.events(), context.time());
        TargetSubset subset =
                new TargetSubset(settings.instanceName(), TargetSubset.ENGINES_PER_POOL);
        EngineLoadPoller poller =
                new EngineLoadPoller(
                        directory,
                        engineLoads,
                        context.require(EngineClient.class),
                        subset,
                        context.time(),
                        settings.timings().loadPeriod());
        context.provide(TargetDirectory.class, directory);
        context.provide(EngineLoadTable.class, engineLoads);
        context.provide(TargetSubset.class, subset);
        hub.addListener(
                rumor -> {
                    if (rumor instanceof TargetDraining draining) {
                        directory.markDraining(draining.target());
                    }
                });
        mSubscriptions.add(
                context.events().stream(TargetDirectory.TargetsChanged.class)
                        .subscribe(ignored -> poller.updateTasks()));
        mPoller = Optional.of(poller);
        InstanceList list = context.require(InstanceList.class);
        Runnable readList =
                () ->
                        directory.updateFromList(
                                list.read(Deadline.after(context.time(), LIST_TIMEOUT)).targets());
        tryReadList(readList);
        TaskGroup tasks = new TaskGroup(context.time());
        tasks.schedule("read-instance-list", settings.timings().listPeriod(), readList);
        mTasks = Optional.of(tasks);
    }

    private static void tryReadList(Runnable readList) {
        try {
            readList.run();
        } catch (RattanportException e) {
            LOGGER.warnf("cannot read the instance list: %s", e.getMessage());
        }
    }

    @Override
    public void stop(Deadline deadline) {
        mSubscriptions.dispose();
        mTasks.ifPresent(TaskGroup::close);
        mPoller.ifPresent(EngineLoadPoller::close);
    }
}
