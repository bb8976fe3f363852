package org.rattanport.decisions.gateway.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.EngineShare;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.WorkUpdate;
import org.rattanport.kernel.time.TimeSource;

/**
 * Tracks requests at engines, those of this instance and those that other instances announced. The
 * progress of a request between two updates is predicted.
 */
public final class WorkTracker {
    /** A request without an end update expires after this multiple of its predicted duration. */
    private static final double EXPIRY_FACTOR = 3;

    /** Shortest time after which a request expires. */
    private static final double MIN_EXPIRY_MILLIS = 3_000;

    /** Fraction of a gap limit that prefill may take; the rest is the decode time of the pass. */
    private static final double MAX_PREFILL_GAP_FRACTION = 0.8;

    /** Fraction of its weight that an already late answer still loses by another long gap. */
    private static final double LATE_WEIGHT_FACTOR = 0.15;

    /**
     * Predicted time of a first event from which on the instance that forwards the request confirms
     * it, as a wrong prediction misleads later placements for long.
     */
    private static final double MIN_CONFIRMED_MILLIS = 200;

    /** Fraction of its prefill that a request still has while its first event is overdue. */
    private static final double OVERDUE_FRACTION = 0.3;

    /** Multiple of its predicted time up to which an overdue first event is expected. */
    private static final double MAX_OVERDUE_FACTOR = 4;

    /** Shortest time until a request that is about to end leaves its slot. */
    private static final double MIN_REMAINING_MILLIS = 30;

    private static final double NANOS_PER_MILLI = 1e6;

    /** Time over which known prefill work may explain a slowdown; at least that of the passes. */
    private static final Duration EXPLAINED_TIME = Duration.ofSeconds(1);

    /**
     * Fraction of the excess in that time that known prefill work must take to explain it, as the
     * slow passes took only a part of that time.
     */
    private static final double EXPLAINED_FRACTION = 0.4;

    private static final class Entry {
        private final EngineWork mWork;
        private final long mPlacedNanos;

        /** Slowdowns of its engines when it was placed, which its prediction includes. */
        private final Map<String, Double> mSlowdowns = new HashMap<>();

        private boolean mIsDecoding;
        private long mDecodingNanos;
        private boolean mIsLate;

        private Entry(EngineWork work, long placedNanos) {
            mWork = work;
            mPlacedNanos = placedNanos;
        }
    }

    private final TimeSource mTime;
    private final Consumer<String> mOnEnded;
    private final Map<String, Entry> mEntries = new LinkedHashMap<>();
    private final Map<String, Map<String, EngineShare>> mByEngine = new HashMap<>();
    private final EngineSlowdowns mSlowdowns;
    private final RecentPrefills mPrefills;

    /** Creates a tracker that does not tell two runs of an engine apart. */
    public WorkTracker(TimeSource time) {
        this(time, engineId -> Optional.empty(), attemptId -> {});
    }

    /**
     * Creates a tracker without requests.
     *
     * @param findEngine returns the engine that runs under an id now
     * @param onEnded receives the attempt id of each request that is no longer tracked
     */
    public WorkTracker(
            TimeSource time,
            Function<String, Optional<BackEnd>> findEngine,
            Consumer<String> onEnded) {
        mTime = time;
        mOnEnded = onEnded;
        mSlowdowns = new EngineSlowdowns(time, findEngine);
        mPrefills = new RecentPrefills(time);
    }

    EngineSlowdowns slowdowns() {
        return mSlowdowns;
    }

    /** Records a request that is placed now. */
    public synchronized void placed(EngineWork work) {
        ended(work.attemptId());
        work.shares().forEach(this::markLate);
        Entry placed = new Entry(work, mTime.nanoTime());
        work.shares()
                .forEach(
                        each ->
                                placed.mSlowdowns.put(
                                        each.engineId(), mSlowdowns.factor(each.engineId())));
        mEntries.put(work.attemptId(), placed);
        mPrefills.placed(work);
        work.shares()
                .forEach(
                        share ->
                                mByEngine
                                        .computeIfAbsent(
                                                share.engineId(), id -> new LinkedHashMap<>())
                                        .put(work.attemptId(), share));
    }

    /**
     * Marks the decode requests that the added prefill makes late, as further gaps cost them
     * little.
     */
    private void markLate(EngineShare added) {
        Map<String, EngineShare> shares = mByEngine.get(added.engineId());
        if (shares == null) {
            return;
        }
        long now = mTime.nanoTime();
        double prefillMillis = added.prefillMillis();
        for (Map.Entry<String, EngineShare> each : shares.entrySet()) {
            prefillMillis +=
                    pendingPrefillFraction(mEntries.get(each.getKey()), added.engineId(), now)
                            * each.getValue().prefillMillis();
        }
        for (Map.Entry<String, EngineShare> each : shares.entrySet()) {
            Entry entry = mEntries.get(each.getKey());
            boolean isDecoding =
                    each.getValue().isDecodeEngine()
                            && pendingPrefillFraction(entry, added.engineId(), now) == 0;
            entry.mIsLate |=
                    isDecoding
                            && prefillMillis
                                    > MAX_PREFILL_GAP_FRACTION * entry.mWork.maxEventGapMillis();
        }
    }

    /** Records that the first event of the request arrived. */
    public synchronized void decodeStarted(String attemptId) {
        Entry entry = mEntries.get(attemptId);
        if (entry != null && !entry.mIsDecoding) {
            entry.mIsDecoding = true;
            entry.mDecodingNanos = mTime.nanoTime();
        }
    }

    /** Whether the first event of the work is reported to the coordinator. */
    static boolean isConfirmed(EngineWork work) {
        return work.isDeferred() || work.predictedFirstEventMillis() >= MIN_CONFIRMED_MILLIS;
    }

    /** Removes a request that has ended. */
    public synchronized void ended(String attemptId) {
        Entry entry = mEntries.remove(attemptId);
        if (entry == null) {
            return;
        }
        for (EngineShare share : entry.mWork.shares()) {
            Map<String, EngineShare> shares = mByEngine.get(share.engineId());
            if (shares != null && shares.remove(attemptId) != null && shares.isEmpty()) {
                mByEngine.remove(share.engineId());
            }
        }
        mOnEnded.accept(attemptId);
    }

    /** Removes requests whose end update is overdue. */
    public synchronized void removeExpired() {
        long now = mTime.nanoTime();
        mEntries.values().stream()
                .filter(each -> isExpired(each, now))
                .map(each -> each.mWork.attemptId())
                .toList()
                .forEach(this::ended);
    }

    private static boolean isExpired(Entry entry, long now) {
        double expected =
                entry.mWork.predictedFirstEventMillis() + entry.mWork.predictedDecodeMillis();
        return age(entry, now) > Math.max(MIN_EXPIRY_MILLIS, EXPIRY_FACTOR * expected);
    }

    /** Estimates the current load of the engine. */
    public synchronized EngineLoadEstimate estimateLoad(String engineId) {
        Map<String, EngineShare> shares = mByEngine.get(engineId);
        if (shares == null) {
            return EngineLoadEstimate.IDLE.withSlowdown(mSlowdowns.factor(engineId));
        }
        long now = mTime.nanoTime();
        List<EngineLoadEstimate.DecodeRequest> decodes = new ArrayList<>();
        int activeDecodes = 0;
        long contextTokens = 0;
        long reservedTokens = 0;
        double pendingPrefillMillis = 0;
        for (Map.Entry<String, EngineShare> each : shares.entrySet()) {
            Entry entry = mEntries.get(each.getKey());
            EngineShare share = each.getValue();
            double pendingFraction = pendingPrefillFraction(entry, engineId, now);
            pendingPrefillMillis += pendingFraction * share.prefillMillis();
            reservedTokens += share.memoryTokens();
            if (share.isDecodeEngine()) {
                EngineWork work = entry.mWork;
                double weight = work.weight() * (entry.mIsLate ? LATE_WEIGHT_FACTOR : 1);
                decodes.add(
                        new EngineLoadEstimate.DecodeRequest(
                                work.maxEventGapMillis(),
                                weight,
                                remainingMillis(entry, engineId, now),
                                work.isDeferred() && !entry.mIsDecoding));
                activeDecodes += pendingFraction > 0 ? 0 : 1;
                contextTokens += pendingFraction > 0 ? 0 : share.memoryTokens();
            }
        }
        return new EngineLoadEstimate(
                decodes,
                activeDecodes,
                contextTokens,
                reservedTokens,
                pendingPrefillMillis,
                mSlowdowns.factor(engineId));
    }

    private double pendingPrefillFraction(Entry entry, String engineId, long now) {
        if (entry.mIsDecoding || entry.mWork.predictedFirstEventMillis() <= 0) {
            return 0;
        }
        double elapsed = age(entry, now) / predictedFirstEventMillis(entry, engineId);
        boolean isOverdue = isConfirmed(entry.mWork) && elapsed < MAX_OVERDUE_FACTOR;
        return Math.max(isOverdue ? OVERDUE_FRACTION : 0, 1 - elapsed);
    }

    /** The predicted time, lengthened if the engine has become slow since. */
    private double predictedFirstEventMillis(Entry entry, String engineId) {
        double lengthening = mSlowdowns.factor(engineId) / entry.mSlowdowns.get(engineId);
        return entry.mWork.predictedFirstEventMillis() * Math.max(1, lengthening);
    }

    private double remainingMillis(Entry entry, String engineId, long now) {
        EngineWork work = entry.mWork;
        double remaining =
                entry.mIsDecoding
                        ? work.predictedDecodeMillis()
                                - (now - entry.mDecodingNanos) / NANOS_PER_MILLI
                        : predictedFirstEventMillis(entry, engineId)
                                + work.predictedDecodeMillis()
                                - age(entry, now);
        return Math.max(MIN_REMAINING_MILLIS, remaining);
    }

    private static double age(Entry entry, long now) {
        return (now - entry.mPlacedNanos) / NANOS_PER_MILLI;
    }

    /** Predicts how long the engine still prefills the requests tracked on it. */
    public synchronized Duration remainingPrefill(String engineId) {
        Map<String, EngineShare> shares = mByEngine.getOrDefault(engineId, Map.of());
        long now = mTime.nanoTime();
        double millis =
                shares.keySet().stream()
                        .map(mEntries::get)
                        .filter(each -> pendingPrefillFraction(each, engineId, now) > 0)
                        .mapToDouble(
                                each ->
                                        pendingPrefillFraction(each, engineId, now)
                                                * predictedFirstEventMillis(each, engineId))
                        .max()
                        .orElse(0);
        return Duration.ofMillis(Math.round(millis));
    }

    /**
     * Sums the prefill work that an engine may have done between two moments, without that of one
     * request.
     */
    double prefillMillisBetween(
            String engineId, long fromNanos, long toNanos, String withoutAttemptId) {
        return mPrefills.millisBetween(engineId, fromNanos, toNanos, withoutAttemptId);
    }

    /**
     * Records the slowdown that an instance observed at an engine, unless prefill work that is
     * known here explains it: the instance may not know the work that others placed there.
     */
    void recordSlowdown(WorkUpdate.EngineSlow update) {
        long now = mTime.nanoTime();
        double prefillMillis =
                mPrefills.millisBetween(
                        update.engineId(), now - EXPLAINED_TIME.toNanos(), now, update.attemptId());
        double excessMillis = EXPLAINED_TIME.toMillis() * (1 - 1 / Math.max(1, update.factor()));
        if (update.factor() <= 1 || prefillMillis < EXPLAINED_FRACTION * excessMillis) {
            mSlowdowns.record(update.engineId(), update.factor());
        }
    }

    /** Number of tracked requests. */
    public synchronized int size() {
        return mEntries.size();
    }
}
