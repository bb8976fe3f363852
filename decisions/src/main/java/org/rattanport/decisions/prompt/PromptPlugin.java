package org.rattanport.decisions.prompt;

import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.ServiceLoader;
import java.util.Set;
import java.util.function.IntSupplier;
import org.rattanport.decisions.admission.Admission;
import org.rattanport.decisions.admission.AdmissionCheck;
import org.rattanport.decisions.admission.DeadlineCheck;
import org.rattanport.decisions.admission.LengthCheck;
import org.rattanport.decisions.admission.PoisonCheck;
import org.rattanport.decisions.admission.QueueCheck;
import org.rattanport.decisions.admission.QuotaCheck;
import org.rattanport.decisions.cost.CostModel;
import org.rattanport.decisions.membership.RumorHub;
import org.rattanport.decisions.memory.MemoryReclaimer;
import org.rattanport.decisions.ordering.Dispatcher;
import org.rattanport.decisions.placement.PlacementPolicyProvider;
import org.rattanport.decisions.poison.SuspicionTable;
import org.rattanport.decisions.quota.AccountQuota;
import org.rattanport.decisions.retry.BudgetedRetryPolicy;
import org.rattanport.decisions.retry.RetryBudget;
import org.rattanport.decisions.target.EngineLoadTable;
import org.rattanport.decisions.target.TargetDirectory;
import org.rattanport.decisions.target.TargetSubset;
import org.rattanport.kernel.environment.ActiveEnvironments;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.model.TargetKind;
import org.rattanport.kernel.model.TargetLoad;
import org.rattanport.kernel.peer.Membership;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.plugin.TaskGroup;
import org.rattanport.kernel.request.RequestJournal;
import org.rattanport.kernel.settings.PolicyChoice;
import org.rattanport.kernel.target.EngineClient;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/** Sets up the serving of prompts: admission, ordering, placement, retries and memory cleanup. */
public final class PromptPlugin implements Plugin {
    private static final Duration RECLAIM_PERIOD = Duration.ofSeconds(5);

    private final CompositeDisposable mSubscriptions = new CompositeDisposable();
    private Optional<TaskGroup> mTasks = Optional.empty();

    @Override
    public String name() {
        return "prompts";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                InstanceId.class,
                EngineClient.class,
                TargetDirectory.class,
                EngineLoadTable.class,
                TargetSubset.class,
                Membership.class,
                RumorHub.class,
                PeerNetwork.class,
                ActiveEnvironments.class,
                RequestJournal.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(
                PromptService.class, Dispatcher.class, MemoryReclaimer.class, SuspicionTable.class);
    }

    @Override
    public void start(PluginContext context) {
        TimeSource time = context.time();
        PolicyChoice choice = context.find(PolicyChoice.class).orElse(PolicyChoice.DEFAULT);
        PlacementPolicyProvider provider = provider(choice.placement());
        Membership membership = context.require(Membership.class);
        EngineLoadTable engineLoads = context.require(EngineLoadTable.class);
        EngineClient engines = context.require(EngineClient.class);
        InstanceId self = context.require(InstanceId.class);
        IntSupplier instances = () -> Math.max(1, membership.aliveMembers().size());
        Dispatcher.EngineSource engineSource = engineSource(context);
        CostModel cost = new CostModel();
        Dispatcher dispatcher =
                new Dispatcher(
                        engineSource,
                        engineLoads,
                        provider.create(cost, new Random()),
                        provider.ordering(),
                        instances,
                        time);
        SuspicionTable suspicions =
                SuspicionTable.withRumors(context.time(), context.require(RumorHub.class));
        DeadlineCheck deadlines =
                new DeadlineCheck(engineSource, engineLoads, cost, dispatcher, instances, time);
        RetryBudget budget = new RetryBudget();
        PromptService service =
                new PromptService(
                        new PromptDependencies(
                                admission(context, choice, suspicions, dispatcher, deadlines),
                                dispatcher,
                                new SpanningPrompts(
                                        engineSource,
                                        engineLoads,
                                        engines,
                                        self,
                                        time,
                                        new Random()),
                                engines,
                                engineLoads,
                                context.require(TargetDirectory.class),
                                cost,
                                suspicions,
                                new BudgetedRetryPolicy(budget),
                                budget,
                                context.require(RequestJournal.class),
                                self,
                                time));
        context.provide(PromptService.class, service);
        context.provide(Dispatcher.class, dispatcher);
        context.provide(SuspicionTable.class, suspicions);
        mSubscriptions.add(
                context.events().stream(TargetLoad.class)
                        .subscribe(load -> dispatcher.dispatchWaiting()));
        startReclaimer(context, engines, membership, service);
    }

    private void startReclaimer(
            PluginContext context,
            EngineClient engines,
            Membership membership,
            PromptService service) {
        MemoryReclaimer reclaimer =
                new MemoryReclaimer(
                        context.require(TargetDirectory.class),
                        engines,
                        membership,
                        service::keysInUse,
                        context.time());
        context.provide(MemoryReclaimer.class, reclaimer);
        TaskGroup tasks = new TaskGroup(context.time());
        tasks.schedule("reclaim-memory", RECLAIM_PERIOD, reclaimer::sweep);
        mTasks = Optional.of(tasks);
    }

    private static Admission admission(
            PluginContext context,
            PolicyChoice choice,
            SuspicionTable suspicions,
            Dispatcher dispatcher,
            DeadlineCheck deadlines) {
        AccountQuota quota =
                new AccountQuota(
                        context.require(Membership.class),
                        context.require(PeerNetwork.class),
                        context.require(ActiveEnvironments.class),
                        context.time());
        quota.registerHandler();
        List<AdmissionCheck> checks = new ArrayList<>();
        checks.add(new LengthCheck());
        checks.add(new PoisonCheck(suspicions));
        checks.add(new QueueCheck(dispatcher));
        if (choice.isDeadlineAdmissionEnabled()) {
            checks.add(deadlines);
        }
        checks.add(new QuotaCheck(quota));
        return new Admission(checks);
    }

    private static Dispatcher.EngineSource engineSource(PluginContext context) {
        TargetDirectory directory = context.require(TargetDirectory.class);
        TargetSubset subset = context.require(TargetSubset.class);
        return model -> subset.select(directory.serving(TargetKind.ENGINE, model));
    }

    private static PlacementPolicyProvider provider(String name) {
        return ServiceLoader.load(PlacementPolicyProvider.class).stream()
                .map(ServiceLoader.Provider::get)
                .filter(each -> each.name().equals(name))
                .findFirst()
                .orElseThrow(
                        () ->
                                new RattanportException(
                                        ErrorCode.PLUGIN_MISSING,
                                        "no plug-in provides the placement policy " + name));
    }

    @Override
    public void stop(Deadline deadline) {
        mSubscriptions.dispose();
        mTasks.ifPresent(TaskGroup::close);
    }
}
