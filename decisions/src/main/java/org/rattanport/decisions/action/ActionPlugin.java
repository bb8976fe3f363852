package org.rattanport.decisions.action;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.rattanport.decisions.retry.BudgetedRetryPolicy;
import org.rattanport.decisions.retry.RetryBudget;
import org.rattanport.decisions.target.TargetDirectory;
import org.rattanport.kernel.environment.ActiveEnvironments;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Membership;
import org.rattanport.kernel.platform.RowCodec;
import org.rattanport.kernel.platform.TableService;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.plugin.TaskGroup;
import org.rattanport.kernel.request.RequestJournal;
import org.rattanport.kernel.target.ServiceClient;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/** Provides the {@link ActionService} and runs the periodic maintenance of the claim rows. */
public final class ActionPlugin implements Plugin {
    private static final Duration SETTLE_RETRY_PERIOD = Duration.ofMillis(500);
    private static final Duration SWEEP_PERIOD = Duration.ofSeconds(5);
    private static final Duration ENDED_OWNER_GRACE = Duration.ofSeconds(20);
    private static final Duration DEFAULT_RETENTION = Duration.ofDays(1);

    private Optional<TaskGroup> mTasks = Optional.empty();
    private Optional<ClaimWriter> mWriter = Optional.empty();
    private Optional<ClaimSettler> mSettler = Optional.empty();

    @Override
    public String name() {
        return "actions";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                TableService.class,
                RowCodec.class,
                InstanceId.class,
                TargetDirectory.class,
                ServiceClient.class,
                RequestJournal.class,
                Membership.class,
                ActiveEnvironments.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(ActionService.class, ClaimTable.class);
    }

    @Override
    public void start(PluginContext context) {
        TimeSource time = context.time();
        TableService table = context.require(TableService.class);
        ClaimWriter writer = new ClaimWriter(table, time);
        ClaimTable claims =
                new ClaimTable(
                        table,
                        writer,
                        context.require(RowCodec.class),
                        context.require(InstanceId.class),
                        time);
        ClaimSettler settler = new ClaimSettler(claims, time);
        RetryBudget budget = new RetryBudget();
        context.provide(ClaimTable.class, claims);
        context.provide(
                ActionService.class,
                new ActionService(
                        context.require(TargetDirectory.class),
                        context.require(ServiceClient.class),
                        claims,
                        settler,
                        new BudgetedRetryPolicy(budget),
                        budget,
                        context.require(RequestJournal.class),
                        time,
                        new Random()));
        ActiveEnvironments environments = context.require(ActiveEnvironments.class);
        ClaimSweeper sweeper =
                new ClaimSweeper(
                        claims,
                        context.require(Membership.class),
                        () -> idempotencyRetention(environments),
                        ENDED_OWNER_GRACE,
                        time);
        TaskGroup tasks = new TaskGroup(time);
        tasks.schedule("settle-claims", SETTLE_RETRY_PERIOD, settler::retryPending);
        tasks.schedule("sweep-claims", SWEEP_PERIOD, sweeper::sweepPage);
        mTasks = Optional.of(tasks);
        mWriter = Optional.of(writer);
        mSettler = Optional.of(settler);
    }

    private static Duration idempotencyRetention(ActiveEnvironments environments) {
        return environments
                .current(Stage.PRODUCTION)
                .map(active -> active.document().limits().idempotencyRetention())
                .orElse(DEFAULT_RETENTION);
    }

    @Override
    public void stop(Deadline deadline) {
        mTasks.ifPresent(TaskGroup::close);
        mSettler.ifPresent(ClaimSettler::retryPending);
        mWriter.ifPresent(ClaimWriter::close);
    }
}
