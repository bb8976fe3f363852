package org.rattanport.decisions.target;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetLoad;
import org.rattanport.kernel.time.TimeSource;

/** The load estimates of all engines, by name and incarnation. */
public final class EngineLoadTable {
    /** An engine with its load estimate. */
    public record Candidate(Target target, EngineLoad load) {}

    private final Map<TargetId, EngineLoad> mEstimates = new ConcurrentHashMap<>();
    private final EventStreams mEvents;
    private final TimeSource mTime;

    public EngineLoadTable(EventStreams events, TimeSource time) {
        mEvents = events;
        mTime = time;
    }

    /** Updates an estimate from a load report, and publishes the report for waiting attempts. */
    public void update(TargetLoad report) {
        long now = mTime.nanoTime();
        mEstimates
                .computeIfAbsent(report.target(), ignored -> new EngineLoad(report, now))
                .update(report, now);
        mEvents.publish(report);
    }

    public Optional<EngineLoad> find(TargetId target) {
        return Optional.ofNullable(mEstimates.get(target));
    }

    /** Pairs the engines with their load estimates; omits engines without a load report. */
    public List<Candidate> candidates(List<Target> targets) {
        List<Candidate> candidates = new ArrayList<>(targets.size());
        for (Target target : targets) {
            EngineLoad load = mEstimates.get(target.id());
            if (load != null) {
                candidates.add(new Candidate(target, load));
            }
        }
        return candidates;
    }

    /** Discards the estimates of all engines except the given ones. */
    public void retain(List<Target> engines) {
        mEstimates.keySet().retainAll(engines.stream().map(Target::id).toList());
    }
}
