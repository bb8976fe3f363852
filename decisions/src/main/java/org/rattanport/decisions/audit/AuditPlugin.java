package org.rattanport.decisions.audit;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.jboss.logging.Logger;
import org.rattanport.kernel.audit.AuditTrail;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.platform.RowCodec;
import org.rattanport.kernel.platform.TableService;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.plugin.TaskGroup;
import org.rattanport.kernel.time.Deadline;

/** Provides the audit trail and flushes it periodically. */
public final class AuditPlugin implements Plugin {
    private static final Logger LOGGER = Logger.getLogger(AuditPlugin.class);
    private static final Duration FLUSH_PERIOD = Duration.ofMillis(500);

    private Optional<TaskGroup> mTasks = Optional.empty();
    private Optional<TableAuditTrail> mTrail = Optional.empty();

    @Override
    public String name() {
        return "audit";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(TableService.class, RowCodec.class, InstanceId.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(AuditTrail.class);
    }

    @Override
    public void start(PluginContext context) {
        TableAuditTrail trail =
                new TableAuditTrail(
                        context.require(TableService.class),
                        context.require(RowCodec.class),
                        context.require(InstanceId.class),
                        context.time());
        context.provide(AuditTrail.class, trail);
        mTrail = Optional.of(trail);
        TaskGroup tasks = new TaskGroup(context.time());
        tasks.schedule("audit-flush", FLUSH_PERIOD, trail::flush);
        mTasks = Optional.of(tasks);
    }

    @Override
    public void stop(Deadline deadline) {
        mTasks.ifPresent(TaskGroup::close);
        try {
            mTrail.ifPresent(TableAuditTrail::flush);
        } catch (RattanportException e) {
            LOGGER.warnf("cannot write the last audit entries before the stop: %s", e.getMessage());
        }
    }
}
