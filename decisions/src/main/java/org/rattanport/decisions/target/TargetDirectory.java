package org.rattanport.decisions.target;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetKind;
import org.rattanport.kernel.model.TargetLoad;
import org.rattanport.kernel.peer.Rumor;
import org.rattanport.kernel.peer.Rumor.TargetDraining;

/**
 * The targets known to this instance. The platform's instance list lags, so load reports from a
 * target, rumors from peers and newer incarnations take precedence over it.
 */
public final class TargetDirectory {
    private static final Logger LOGGER = Logger.getLogger(TargetDirectory.class);

    private static final double MIN_USABLE_SHARE = 0.5;

    /** Published when the set of targets or the state of a target has changed. */
    public record TargetsChanged() {}

    private final Map<String, Target> mTargets = new TreeMap<>();
    private final Set<TargetId> mDraining = new HashSet<>();
    private final TargetHealth mHealth;
    private final EventStreams mEvents;
    private final Consumer<Rumor> mRumorPublisher;

    public TargetDirectory(
            TargetHealth health, EventStreams events, Consumer<Rumor> rumorPublisher) {
        mHealth = health;
        mEvents = events;
        mRumorPublisher = rumorPublisher;
    }

    /** Applies the platform's instance list, but retains a known newer incarnation of a target. */
    public void updateFromList(List<Target> listed) {
        boolean isChanged;
        synchronized (this) {
            Map<String, Target> before = new HashMap<>(mTargets);
            mTargets.clear();
            listed.forEach(each -> mTargets.put(each.id().name(), newerIncarnation(before, each)));
            Set<TargetId> known =
                    mTargets.values().stream().map(Target::id).collect(Collectors.toSet());
            mDraining.retainAll(known);
            isChanged = !before.equals(mTargets);
        }
        if (isChanged) {
            mEvents.publish(new TargetsChanged());
        }
    }

    private static Target newerIncarnation(Map<String, Target> before, Target listed) {
        Target known = before.get(listed.id().name());
        boolean isListStale = known != null && known.id().incarnation() > listed.id().incarnation();
        return isListStale ? known : listed;
    }

    /** Applies a load report, which has the target's current incarnation and draining state. */
    public void updateFromReport(TargetLoad load) {
        boolean isChanged = false;
        synchronized (this) {
            Target known = mTargets.get(load.target().name());
            if (known != null && known.id().incarnation() < load.target().incarnation()) {
                LOGGER.infof("target %s restarted as %s", known.id(), load.target());
                mTargets.put(
                        known.id().name(),
                        new Target(
                                load.target(),
                                known.kind(),
                                known.pool(),
                                known.address(),
                                known.dataCentre(),
                                false));
                isChanged = true;
            }
        }
        if (isChanged) {
            mEvents.publish(new TargetsChanged());
        }
        if (load.isDraining()) {
            markDraining(load.target());
        }
    }

    /** Marks a target as draining; on the first call, also notifies the peers. */
    public void markDraining(TargetId target) {
        boolean isFirst;
        synchronized (this) {
            Target known = mTargets.get(target.name());
            isFirst = known != null && known.id().equals(target) && mDraining.add(target);
        }
        if (isFirst) {
            LOGGER.infof("target %s is draining and gets no new work", target);
            mRumorPublisher.accept(new TargetDraining(target));
            mEvents.publish(new TargetsChanged());
        }
    }

    /**
     * Targets of a pool that accept new work. When more than half of them are ejected, all are
     * returned, since the requests or the network are then the likelier cause of the failures.
     */
    public synchronized List<Target> serving(TargetKind kind, String pool) {
        List<Target> present =
                mTargets.values().stream()
                        .filter(each -> each.kind() == kind && each.pool().equals(pool))
                        .filter(each -> !each.isDraining() && !mDraining.contains(each.id()))
                        .toList();
        List<Target> usable = present.stream().filter(each -> mHealth.isUsable(each.id())).toList();
        return usable.size() < present.size() * MIN_USABLE_SHARE ? present : usable;
    }

    /** All known targets of a kind, including draining ones. */
    public synchronized List<Target> all(TargetKind kind) {
        return mTargets.values().stream().filter(each -> each.kind() == kind).toList();
    }

    public synchronized Optional<Target> find(TargetId id) {
        return Optional.ofNullable(mTargets.get(id.name())).filter(each -> each.id().equals(id));
    }

    public TargetHealth health() {
        return mHealth;
    }
}
