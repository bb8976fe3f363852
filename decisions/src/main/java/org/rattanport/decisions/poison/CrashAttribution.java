package org.rattanport.decisions.poison;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.jboss.logging.Logger;
import org.rattanport.decisions.membership.RumorHub;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.gateway.RequestContent;
import org.rattanport.kernel.model.Fingerprint;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.peer.Rumor;
import org.rattanport.kernel.peer.Rumor.RequestSuspected;
import org.rattanport.kernel.peer.Rumor.SuspicionWithdrawn;
import org.rattanport.kernel.time.TimeSource;

/**
 * Attributes crashes of engines to contents that they were running: whole requests, and parts that
 * many prompts have in common. An engine takes all its requests with it when it crashes, so each of
 * their contents becomes a suspect. Three rules find the content at fault:
 *
 * <ul>
 *   <li>A content that another engine runs without a crash is cleared. Instances that have seen
 *       this withdraw the suspicions of others.
 *   <li>A crash counts only against the suspects that were present at the most crashes.
 *   <li>Contents that were present at the same crashes cannot be told apart. Only a request that
 *       contains all of them is blocked; others show which one is at fault.
 * </ul>
 */
public final class CrashAttribution {
    private static final Logger LOGGER = Logger.getLogger(CrashAttribution.class);

    /** Crashed engines that block a content. */
    private static final int MIN_CRASHES = 3;

    /** Crashed engines at which the news of a content is urgent; most contents see one crash. */
    private static final int MIN_URGENT_CRASHES = 2;

    /** Crashed engines that block a content which engines ran before. */
    private static final int MIN_CRASHES_AFTER_SOUND_RUN = 5;

    /** Time since the last sound run after which a content may be blocked again. */
    private static final Duration MIN_TIME_AFTER_SOUND_RUN = Duration.ofSeconds(2);

    /** Time for which a run without a crash speaks for a content. */
    private static final Duration SOUND_RETENTION = Duration.ofMinutes(1);

    /** Time until the other suspects of a crash are known here, from all instances. */
    private static final Duration SETTLE_TIME = Duration.ofMillis(500);

    private static final Duration CRASH_RETENTION = Duration.ofHours(1);
    private static final int MAX_CRASHES = 512;
    private static final int MAX_SOUND_CONTENTS = 4_096;
    private static final int MAX_OBSERVATIONS = 4_096;
    private static final int MAX_RETOLD_CONTENTS = 8;

    /** Crashes above which a companion may be missing at one of them. */
    private static final int MIN_CRASHES_FOR_EXCEPTION = 5;

    private final TimeSource mTime;
    private final Consumer<Rumor> mRumors;
    private final Consumer<Rumor> mUrgentRumors;
    private final Random mRandom;
    private final Map<TargetId, Crash> mCrashes = new LinkedHashMap<>();
    private final Map<Fingerprint, Suspect> mSuspects = new HashMap<>();
    private final Map<Fingerprint, SoundRun> mSoundRuns = boundedMap(MAX_SOUND_CONTENTS);
    private final Set<Long> mObservations = Collections.newSetFromMap(boundedMap(MAX_OBSERVATIONS));

    /**
     * Creates an attribution.
     *
     * @param rumors sends a rumor to peers some time
     * @param urgentRumors sends a rumor to peers at once
     */
    public CrashAttribution(
            TimeSource time, Consumer<Rumor> rumors, Consumer<Rumor> urgentRumors, Random random) {
        mTime = time;
        mRumors = rumors;
        mUrgentRumors = urgentRumors;
        mRandom = random;
    }

    /** Creates an attribution that shares its evidence with peers through rumors. */
    public static CrashAttribution withRumors(TimeSource time, RumorHub hub, Random random) {
        CrashAttribution attribution =
                new CrashAttribution(time, hub::spread, hub::spreadPromptly, random);
        hub.addListener(attribution::receive);
        return attribution;
    }

    /** Returns the content for which no engine may run the request, if there is one. */
    public synchronized Optional<Fingerprint> blockedContent(RequestContent content) {
        Optional<Fingerprint> blocked = findBlocked(content);
        blocked.ifPresent(this::logFirstBlock);
        return blocked;
    }

    /** Returns the same as {@link #blockedContent}, for a request that is not made. */
    public synchronized Optional<Fingerprint> findBlocked(RequestContent content) {
        if (mSuspects.isEmpty()) {
            return Optional.empty();
        }
        return isAtFault(content.request(), content, Duration.ZERO)
                ? Optional.of(content.request())
                : content.sharedParts().stream()
                        .filter(part -> isAtFault(part, content, SETTLE_TIME))
                        .findFirst();
    }

    /** Records that an engine crashed before it answered these contents. */
    public void recordCrash(TargetId engine, Collection<Fingerprint> contents) {
        contents.forEach(content -> accuse(content, engine));
    }

    /** Records that an engine completed the request. */
    public void recordCompletion(Fingerprint request) {
        Optional<SuspicionWithdrawn> withdrawal;
        synchronized (this) {
            boolean isSuspect = crashCount(request) > 0;
            dismissCrashes(request);
            withdrawal = isSuspect ? Optional.of(withdraw(request)) : Optional.empty();
        }
        withdrawal.ifPresent(mRumors);
    }

    /** Records that an engine began to answer these contents. */
    public synchronized void recordSoundRun(Collection<Fingerprint> contents) {
        contents.forEach(content -> putSoundRun(content, true));
    }

    /** Applies a rumor from a peer, and passes it on if it is news. */
    public void receive(Rumor rumor) {
        if (rumor instanceof RequestSuspected suspected) {
            accuse(suspected.fingerprint(), suspected.target());
        } else if (rumor instanceof SuspicionWithdrawn withdrawn && clear(withdrawn)) {
            mRumors.accept(withdrawn);
        }
    }

    /**
     * Spreads the suspicions of the contents at fault again, for an instance that started or was
     * unreachable when they were new.
     */
    public void retell() {
        List<RequestSuspected> rumors;
        synchronized (this) {
            rumors =
                    mSuspects.keySet().stream()
                            .filter(this::isLikeliestCause)
                            .limit(MAX_RETOLD_CONTENTS)
                            .flatMap(this::accusations)
                            .toList();
        }
        rumors.forEach(mUrgentRumors);
    }

    private boolean isLikeliestCause(Fingerprint content) {
        return isLikeliestCause(content, mSuspects.get(content), Duration.ZERO);
    }

    private Stream<RequestSuspected> accusations(Fingerprint content) {
        return mSuspects.get(content).mCrashes.keySet().stream()
                .limit(MIN_CRASHES_AFTER_SOUND_RUN)
                .map(engine -> new RequestSuspected(content, engine));
    }

    private void accuse(Fingerprint content, TargetId engine) {
        Optional<SuspicionWithdrawn> withdrawal;
        boolean isUrgent;
        synchronized (this) {
            if (!addSuspect(content, engine)) {
                return;
            }
            withdrawal = withdrawal(content);
            isUrgent = crashCount(content) >= MIN_URGENT_CRASHES;
        }
        (isUrgent ? mUrgentRumors : mRumors).accept(new RequestSuspected(content, engine));
        withdrawal.ifPresent(mRumors);
    }

    /** Returns whether this is the first accusation of the content for this crash. */
    private boolean addSuspect(Fingerprint content, TargetId engine) {
        removeOldCrashes();
        Suspect suspect = mSuspects.computeIfAbsent(content, ignored -> new Suspect());
        if (suspect.mCrashes.containsKey(engine) || suspect.mDismissed.contains(engine)) {
            return false;
        }
        long now = mTime.nanoTime();
        suspect.mCrashes.put(engine, now);
        mCrashes.computeIfAbsent(engine, ignored -> new Crash(now, new HashSet<>()))
                .suspects()
                .add(content);
        return true;
    }

    /** Each sound run that this instance has seen withdraws one suspicion. */
    private Optional<SuspicionWithdrawn> withdrawal(Fingerprint content) {
        Optional<SoundRun> own = soundRun(content).filter(run -> run.mIsUntold);
        if (own.isEmpty()) {
            return Optional.empty();
        }
        own.get().mIsUntold = false;
        dismissCrashes(content);
        return Optional.of(withdraw(content));
    }

    private SuspicionWithdrawn withdraw(Fingerprint content) {
        SuspicionWithdrawn withdrawal = new SuspicionWithdrawn(content, mRandom.nextLong());
        mObservations.add(withdrawal.observation());
        return withdrawal;
    }

    /** Clears the content; returns whether the withdrawal is news. */
    private synchronized boolean clear(SuspicionWithdrawn withdrawn) {
        if (!mObservations.add(withdrawn.observation())) {
            return false;
        }
        Fingerprint content = withdrawn.fingerprint();
        boolean isUntold = soundRun(content).map(run -> run.mIsUntold).orElse(false);
        putSoundRun(content, isUntold);
        return true;
    }

    private void putSoundRun(Fingerprint content, boolean isUntold) {
        // Makes the content the newest one, as the oldest is dropped first.
        mSoundRuns.remove(content);
        mSoundRuns.put(content, new SoundRun(mTime.nanoTime(), isUntold));
        dismissCrashes(content);
    }

    private void dismissCrashes(Fingerprint content) {
        Suspect suspect = mSuspects.get(content);
        if (suspect != null) {
            suspect.mDismissed.addAll(suspect.mCrashes.keySet());
            suspect.mCrashes.clear();
            suspect.mIsBlocked = false;
        }
    }

    private boolean isAtFault(Fingerprint content, RequestContent request, Duration settleTime) {
        Suspect suspect = mSuspects.get(content);
        return suspect != null
                && isLikeliestCause(content, suspect, settleTime)
                && companions(content, suspect).allMatch(request::contains);
    }

    private boolean isLikeliestCause(Fingerprint content, Suspect suspect, Duration settleTime) {
        Optional<SoundRun> soundRun = soundRun(content);
        int needed = soundRun.isPresent() ? MIN_CRASHES_AFTER_SOUND_RUN : MIN_CRASHES;
        if (suspect.mCrashes.size() < needed
                || soundRun.filter(run -> age(run.mNanos) < MIN_TIME_AFTER_SOUND_RUN.toNanos())
                        .isPresent()) {
            return false;
        }
        int total = suspect.mCrashes.size();
        long counted =
                suspect.mCrashes.entrySet().stream()
                        .filter(crash -> age(crash.getValue()) >= settleTime.toNanos())
                        .filter(crash -> !hasLikelierSuspect(crash.getKey(), total))
                        .count();
        return counted >= needed;
    }

    private boolean hasLikelierSuspect(TargetId engine, int crashCount) {
        return mCrashes.get(engine).suspects().stream()
                .anyMatch(other -> crashCount(other) > crashCount && soundRun(other).isEmpty());
    }

    /** Suspects that were present at the same crashes and were never seen to run. */
    private Stream<Fingerprint> companions(Fingerprint content, Suspect suspect) {
        int total = suspect.mCrashes.size();
        int exceptions = total >= MIN_CRASHES_FOR_EXCEPTION ? 1 : 0;
        Map<Fingerprint, Integer> common = new HashMap<>();
        suspect.mCrashes
                .keySet()
                .forEach(
                        engine ->
                                mCrashes.get(engine)
                                        .suspects()
                                        .forEach(other -> common.merge(other, 1, Integer::sum)));
        return common.entrySet().stream()
                .filter(entry -> entry.getValue() >= total - exceptions)
                .map(Map.Entry::getKey)
                .filter(other -> !other.equals(content) && soundRun(other).isEmpty());
    }

    private int crashCount(Fingerprint content) {
        Suspect suspect = mSuspects.get(content);
        return suspect == null ? 0 : suspect.mCrashes.size();
    }

    private Optional<SoundRun> soundRun(Fingerprint content) {
        return Optional.ofNullable(mSoundRuns.get(content))
                .filter(run -> age(run.mNanos) <= SOUND_RETENTION.toNanos());
    }

    private long age(long nanos) {
        return mTime.nanoTime() - nanos;
    }

    private void removeOldCrashes() {
        List<TargetId> old =
                mCrashes.entrySet().stream()
                        .limit(Math.max(1, mCrashes.size() - MAX_CRASHES))
                        .filter(
                                crash ->
                                        mCrashes.size() > MAX_CRASHES
                                                || age(crash.getValue().firstNanos())
                                                        > CRASH_RETENTION.toNanos())
                        .map(Map.Entry::getKey)
                        .toList();
        if (old.isEmpty()) {
            return;
        }
        old.forEach(mCrashes::remove);
        mSuspects.values().forEach(suspect -> suspect.forget(old));
        mSuspects.values().removeIf(Suspect::isForgotten);
    }

    private void logFirstBlock(Fingerprint content) {
        Suspect suspect = mSuspects.get(content);
        if (!suspect.mIsBlocked) {
            suspect.mIsBlocked = true;
            LOGGER.warn(
                    LogLine.of("content-blocked")
                            .with("content", content)
                            .with("crashes", suspect.mCrashes.size())
                            .with("engines", suspect.mCrashes.keySet()));
        }
    }

    private static <K, V> Map<K, V> boundedMap(int maxSize) {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > maxSize;
            }
        };
    }

    /** A crash, with the contents that may have caused it. */
    private record Crash(long firstNanos, Set<Fingerprint> suspects) {}

    /** A run without a crash; untold until this instance has withdrawn a suspicion with it. */
    private static final class SoundRun {
        private final long mNanos;
        private boolean mIsUntold;

        private SoundRun(long nanos, boolean isUntold) {
            mNanos = nanos;
            mIsUntold = isUntold;
        }
    }

    private static final class Suspect {
        /** The crashes that count, with the time at which this instance heard of each. */
        private final Map<TargetId, Long> mCrashes = new HashMap<>();

        /** Crashes before the last sound run. */
        private final Set<TargetId> mDismissed = new HashSet<>();

        private boolean mIsBlocked;

        private void forget(Collection<TargetId> engines) {
            mCrashes.keySet().removeAll(engines);
            mDismissed.removeAll(engines);
        }

        private boolean isForgotten() {
            return mCrashes.isEmpty() && mDismissed.isEmpty();
        }
    }
}
