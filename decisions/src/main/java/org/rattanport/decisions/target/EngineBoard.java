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

/** The views of all engines, by incarnation. */
public final class EngineBoard {
    /** An engine and what is known of its load. */
    public record Candidate(Target target, EngineView load) {}

    private final Map<TargetId, EngineView> mEstimates = new ConcurrentHashMap<>();
    private final EventStreams mEvents;
    private final TimeSource mTime;

    public EngineBoard(EventStreams events, TimeSource time) {
        mEvents = events;
        mTime = time;
    }

    /** Takes a load report and tells those who wait for capacity. */
    public void update(TargetLoad load) {
        long now = mTime.nanoTime();
        mEstimates
                .computeIfAbsent(load.target(), ignored -> new EngineView(load, now))
                .update(load, now);
        mEvents.publish(load);
    }

    public Optional<EngineView> view(TargetId target) {
        return Optional.ofNullable(mEstimates.get(target));
    }

    /** Pairs the targets with their views; engines without any report are left out. */
    public List<Candidate> candidates(List<Target> targets) {
        List<Candidate> candidates = new ArrayList<>(targets.size());
        for (Target target : targets) {
            EngineView view = mEstimates.get(target.id());
            if (view != null) {
                candidates.add(new Candidate(target, view));
            }
        }
        return candidates;
    }

    /** Forgets engines that are gone. */
    public void retain(List<Target> known) {
        mEstimates.keySet().retainAll(known.stream().map(Target::id).toList());
    }
}
