package org.rattanport.decisions.poison;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.rattanport.decisions.membership.RumorHub;
import org.rattanport.kernel.model.Fingerprint;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.peer.Rumor;
import org.rattanport.kernel.peer.Rumor.RequestSuspected;
import org.rattanport.kernel.time.TimeSource;

/**
 * Counts, by fingerprint of a request, the engines that died while they ran it. Rumors share the
 * counts with all instances, so that a retry at another instance is recognized. A suspect runs in
 * isolation: one run at a time, on an engine without another suspect, so that the next death of an
 * engine identifies the request that caused it.
 */
public final class SuspicionTable {
    private static final Duration RETENTION = Duration.ofHours(1);

    private final TimeSource mTime;
    private final Consumer<Rumor> mRumors;
    private final Map<Fingerprint, Suspicion> mSuspicions = new HashMap<>();
    private final Set<Fingerprint> mIsolatedRuns = new HashSet<>();
    private final Map<TargetId, Integer> mSuspectCounts = new HashMap<>();

    public SuspicionTable(TimeSource time, Consumer<Rumor> rumors) {
        mTime = time;
        mRumors = rumors;
    }

    /** Creates a table that exchanges suspicions with peers through rumors. */
    public static SuspicionTable withRumors(TimeSource time, RumorHub hub) {
        SuspicionTable suspicions = new SuspicionTable(time, hub::spread);
        hub.addListener(
                rumor -> {
                    if (rumor instanceof RequestSuspected suspected) {
                        suspicions.recordDeath(suspected.fingerprint(), suspected.target());
                    }
                });
        return suspicions;
    }

    /** Returns the number of engines that died while they ran the request. */
    public synchronized int deathCount(Fingerprint fingerprint) {
        removeExpired();
        Suspicion suspicion = mSuspicions.get(fingerprint);
        return suspicion == null ? 0 : suspicion.mTargets.size();
    }

    /** Records that an engine died while it ran the request; sends a rumor if this is new. */
    public void recordDeath(Fingerprint fingerprint, TargetId target) {
        boolean isNew;
        synchronized (this) {
            Suspicion suspicion =
                    mSuspicions.computeIfAbsent(fingerprint, ignored -> new Suspicion());
            suspicion.mLatestNanos = mTime.nanoTime();
            isNew = suspicion.mTargets.add(target);
        }
        if (isNew) {
            mRumors.accept(new RequestSuspected(fingerprint, target));
        }
    }

    /** Clears the suspicion against a request that completed. */
    public synchronized void clear(Fingerprint fingerprint) {
        mSuspicions.remove(fingerprint);
    }

    /** Begins an isolated run; returns false when one is in progress at this instance. */
    public synchronized boolean tryBeginIsolatedRun(Fingerprint fingerprint) {
        return mIsolatedRuns.add(fingerprint);
    }

    public synchronized void endIsolatedRun(Fingerprint fingerprint) {
        mIsolatedRuns.remove(fingerprint);
    }

    /** Returns the engines that run a suspect; placement must keep other suspects off them. */
    public synchronized Set<TargetId> targetsRunningSuspects() {
        return Set.copyOf(mSuspectCounts.keySet());
    }

    public synchronized void recordSuspectStart(TargetId target) {
        mSuspectCounts.merge(target, 1, Integer::sum);
    }

    public synchronized void recordSuspectEnd(TargetId target) {
        mSuspectCounts.computeIfPresent(target, (key, count) -> count > 1 ? count - 1 : null);
    }

    private void removeExpired() {
        long now = mTime.nanoTime();
        mSuspicions.values().removeIf(each -> now - each.mLatestNanos > RETENTION.toNanos());
    }

    private static final class Suspicion {
        private final Set<TargetId> mTargets = new HashSet<>();
        private long mLatestNanos;
    }
}
