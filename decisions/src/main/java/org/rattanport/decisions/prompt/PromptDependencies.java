package org.rattanport.decisions.prompt;

import org.rattanport.decisions.admission.Admission;
import org.rattanport.decisions.cost.CostModel;
import org.rattanport.decisions.ordering.Dispatcher;
import org.rattanport.decisions.poison.SuspicionTable;
import org.rattanport.decisions.retry.RetryBudget;
import org.rattanport.decisions.retry.RetryPolicy;
import org.rattanport.decisions.target.EngineLoadTable;
import org.rattanport.decisions.target.TargetDirectory;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.request.RequestJournal;
import org.rattanport.kernel.target.EngineClient;
import org.rattanport.kernel.time.TimeSource;

/** The collaborators of {@link PromptService}. */
public record PromptDependencies(
        Admission admission,
        Dispatcher dispatcher,
        SpanningPrompts spanning,
        EngineClient engines,
        EngineLoadTable engineLoads,
        TargetDirectory directory,
        CostModel cost,
        SuspicionTable suspicions,
        RetryPolicy retry,
        RetryBudget budget,
        RequestJournal journal,
        InstanceId self,
        TimeSource time) {}
