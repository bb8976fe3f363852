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
import org.rattanport.kernel.peer.Rumor.TargetLeaving;

/**
 * The targets as this instance knows them. The platform's list lags, so a target's own word, the
 * word of peers and newer incarnations go before it.
 */
public final class TargetDirectory {
    private static final Logger LOGGER = Logger.getLogger(TargetDirectory.class);

    private static final double MIN_USABLE_SHARE = 0.5;

    /** Published when the set of targets or the state of one has changed. */
    public record TargetsChanged() {}

    private final Map<String, Target> mTargets = new TreeMap<>();
    private final Set<TargetId> mDraining = new HashSet<>();
    private final TargetHealth mHealth;
    private final EventStreams mEvents;
    private final Consumer<Rumor> mRumorPublisher;

    public TargetDirectory(TargetHealth health, EventStreams events, Consumer<Rumor> rumors) {
        mHealth = health;
        mEvents = events;
        mRumorPublisher = rumors;
    }

    /** Takes a read of the platform's list. */
    public void listed(List<Target> listed) {
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

    /** Takes a load report: it shows the incarnation that really runs, and whether it leaves. */
    public void updateFromReport(TargetLoad load) {
        boolean isChanged = false;
        synchronized (this) {
            Target known = mTargets.get(load.target().name());
            if (known != null && known.id().incarnation() < load.target().incarnation()) {
                LOGGER.infof("target %s returned as %s", known.id(), load.target());
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
        if (load.isLeaving()) {
            markLeaving(load.target());
        }
    }

    /** Records that a target refuses new work, and tells the peers when it is news. */
    public void markLeaving(TargetId target) {
        boolean isNews;
        synchronized (this) {
            Target known = mTargets.get(target.name());
            isNews = known != null && known.id().equals(target) && mDraining.add(target);
        }
        if (isNews) {
            LOGGER.infof("target %s is leaving", target);
            mRumorPublisher.accept(new TargetLeaving(target));
            mEvents.publish(new TargetsChanged());
        }
    }

    /**
     * Targets of a pool that may get new work. When most of them are ejected, the failures say more
     * about the work or the network than about the targets, and all are used.
     */
    public synchronized List<Target> serving(TargetKind kind, String pool) {
        List<Target> present =
                mTargets.values().stream()
                        .filter(each -> each.kind() == kind && each.pool().equals(pool))
                        .filter(each -> !each.isLeaving() && !mDraining.contains(each.id()))
                        .toList();
        List<Target> usable = present.stream().filter(each -> mHealth.isUsable(each.id())).toList();
        return usable.size() < present.size() * MIN_USABLE_SHARE ? present : usable;
    }

    /** Every known target of a kind, the leaving ones included. */
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
