package org.rattanport.decisions.order;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.rattanport.decisions.target.TargetDirectory;
import org.rattanport.kernel.audit.AuditTrail;
import org.rattanport.kernel.environment.ActiveEnvironments;
import org.rattanport.kernel.peer.Membership;
import org.rattanport.kernel.platform.RowCodec;
import org.rattanport.kernel.platform.TableService;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.plugin.TaskGroup;
import org.rattanport.kernel.target.EngineClient;
import org.rattanport.kernel.time.Deadline;

/** Runs the {@link ModelController} periodically. */
public final class OrderPlugin implements Plugin {
    private static final Duration RECONCILE_PERIOD = Duration.ofSeconds(3);

    private Optional<TaskGroup> mTasks = Optional.empty();

    @Override
    public String name() {
        return "orders";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                ActiveEnvironments.class,
                TargetDirectory.class,
                EngineClient.class,
                TableService.class,
                RowCodec.class,
                AuditTrail.class,
                Membership.class);
    }

    @Override
    public void start(PluginContext context) {
        ModelController controller =
                new ModelController(
                        context.require(ActiveEnvironments.class),
                        context.require(TargetDirectory.class),
                        context.require(EngineClient.class),
                        context.require(TableService.class),
                        context.require(RowCodec.class),
                        context.require(AuditTrail.class),
                        context.require(Membership.class),
                        context.time());
        TaskGroup tasks = new TaskGroup(context.time());
        tasks.schedule("control-models", RECONCILE_PERIOD, controller::reconcile);
        mTasks = Optional.of(tasks);
    }

    @Override
    public void stop(Deadline deadline) {
        mTasks.ifPresent(TaskGroup::close);
    }
}
