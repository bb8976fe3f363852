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
 * Counts, by content of a request, the engines that died while it ran on them. The knowledge is
 * shared with all instances, so a resend elsewhere is known. A request under suspicion runs alone:
 * one copy at a time, and on an engine without another suspect, so that the next death blames the
 * right one.
 */
public final class SuspicionTable {
    private static final Duration REMEMBERED = Duration.ofHours(1);

    private final TimeSource mTime;
    private final Consumer<Rumor> mRumors;
    private final Map<Fingerprint, Suspicion> mSuspicions = new HashMap<>();
    private final Set<Fingerprint> mTrials = new HashSet<>();
    private final Map<TargetId, Integer> mSuspectsAt = new HashMap<>();

    public SuspicionTable(TimeSource time, Consumer<Rumor> rumors) {
        mTime = time;
        mRumors = rumors;
    }

    /** Makes a table that learns from the rumors of peers and tells them its own. */
    public static SuspicionTable shared(TimeSource time, RumorHub hub) {
        SuspicionTable suspicions = new SuspicionTable(time, hub::spread);
        hub.listen(
                rumor -> {
                    if (rumor instanceof RequestSuspected suspected) {
                        suspicions.died(suspected.fingerprint(), suspected.target());
                    }
                });
        return suspicions;
    }

    /** Engines that died with the request so far. */
    public synchronized int deaths(Fingerprint fingerprint) {
        forgetOld();
        Suspicion suspicion = mSuspicions.get(fingerprint);
        return suspicion == null ? 0 : suspicion.mTargets.size();
    }

    /** Records that an engine died with the request, and tells the peers when it is news. */
    public void died(Fingerprint fingerprint, TargetId target) {
        boolean isNews;
        synchronized (this) {
            Suspicion suspicion =
                    mSuspicions.computeIfAbsent(fingerprint, ignored -> new Suspicion());
            suspicion.mLatestNanos = mTime.nanoTime();
            isNews = suspicion.mTargets.add(target);
        }
        if (isNews) {
            mRumors.accept(new RequestSuspected(fingerprint, target));
        }
    }

    /** Clears a request that ran to its end. */
    public synchronized void acquitted(Fingerprint fingerprint) {
        mSuspicions.remove(fingerprint);
    }

    /** Begins a run of a suspect; false when another copy is running here. */
    public synchronized boolean beginTrial(Fingerprint fingerprint) {
        return mTrials.add(fingerprint);
    }

    public synchronized void endTrial(Fingerprint fingerprint) {
        mTrials.remove(fingerprint);
    }

    /** Engines that run a suspect now, which no other suspect may join. */
    public synchronized Set<TargetId> targetsWithSuspects() {
        return Set.copyOf(mSuspectsAt.keySet());
    }

    public synchronized void suspectStarted(TargetId target) {
        mSuspectsAt.merge(target, 1, Integer::sum);
    }

    public synchronized void suspectEnded(TargetId target) {
        mSuspectsAt.computeIfPresent(target, (key, count) -> count > 1 ? count - 1 : null);
    }

    private void forgetOld() {
        long now = mTime.nanoTime();
        mSuspicions.values().removeIf(each -> now - each.mLatestNanos > REMEMBERED.toNanos());
    }

    private static final class Suspicion {
        private final Set<TargetId> mTargets = new HashSet<>();
        private long mLatestNanos;
    }
}
