package org.rattanport.decisions.gateway.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.rattanport.kernel.gateway.EngineShare;
import org.rattanport.kernel.gateway.EngineSpec;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.PromptPart;
import org.rattanport.kernel.time.ManualTimeSource;

/**
 * Engines in virtual time that hold prompts as long as their memory has room. They know nothing of
 * the memory under test. The prefill engines of a split prompt read it in order, so that the first
 * one holds its beginning.
 */
final class RetainingEngines {
    private record Event(long nanos, Runnable action) {}

    private static final class Engine {
        /** Tokens of each retained beginning's last part, by the ids of its parts; oldest first. */
        private final Map<String, Integer> mRetained = new LinkedHashMap<>();

        private final List<Request> mQueue = new ArrayList<>();
        private boolean mIsPrefilling;
        private int mRunning;
        private long mRunningTokens;
        private int mDecoding;
        private int mMaxRunning;
        private int mRequests;
    }

    private static final class Request {
        private final EngineWork mWork;
        private final List<PromptPart> mParts;
        private final long mBeginNanos;
        private int mShares;

        private Request(EngineWork work, List<PromptPart> parts, long beginNanos) {
            mWork = work;
            mParts = parts;
            mBeginNanos = beginNanos;
            mShares = work.shares().size();
        }
    }

    private final ManualTimeSource mTime;
    private final EngineSpec mSpec;
    private final WorkTracker mTracker;
    private final Map<String, Engine> mEngines = new HashMap<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparingLong(Event::nanos));
    private final List<Double> mFirstEventMillis = new ArrayList<>();

    RetainingEngines(ManualTimeSource time, EngineSpec spec, WorkTracker tracker) {
        mTime = time;
        mSpec = spec;
        mTracker = tracker;
    }

    /** Lets time pass with the first events and ends that fall into it. */
    void advance(Duration duration) {
        long end = mTime.nanoTime() + duration.toNanos();
        while (!mEvents.isEmpty() && mEvents.peek().nanos() <= end) {
            Event next = mEvents.poll();
            mTime.advance(Duration.ofNanos(Math.max(0, next.nanos() - mTime.nanoTime())));
            next.action().run();
        }
        mTime.advance(Duration.ofNanos(end - mTime.nanoTime()));
    }

    /** Runs a placed request. */
    void run(EngineWork work, List<PromptPart> parts) {
        Request request = new Request(work, parts, mTime.nanoTime());
        for (EngineShare share : work.shares()) {
            Engine engine = engine(share.engineId());
            engine.mQueue.add(request);
            engine.mRunning += share.isDecodeEngine() ? 1 : 0;
            engine.mRunningTokens += share.memoryTokens();
            engine.mMaxRunning = Math.max(engine.mMaxRunning, engine.mRunning);
            engine.mRequests += share.isDecodeEngine() ? 1 : 0;
            if (!engine.mIsPrefilling) {
                engine.mIsPrefilling = true;
                schedule(decodePassMillis(engine) / 2, () -> beginPass(engine));
            }
        }
    }

    /** One pass prefills all prompts that arrived during the last one. */
    private void beginPass(Engine engine) {
        List<Request> requests = List.copyOf(engine.mQueue);
        engine.mQueue.clear();
        engine.mIsPrefilling = !requests.isEmpty();
        if (!requests.isEmpty()) {
            double millis = requests.stream().mapToDouble(each -> millisAt(engine, each)).sum();
            schedule(decodePassMillis(engine) + millis, () -> endPass(engine, requests));
        }
    }

    private double millisAt(Engine engine, Request request) {
        ForwardPassModel model = new ForwardPassModel(mSpec);
        int tokens = request.mParts.stream().mapToInt(PromptPart::tokens).sum();
        int engines = request.mWork.shares().size();
        return engines > 1
                ? model.prefillMillis(tokens, engines)
                : model.restPrefillMillis(tokens, heldTokens(engine, request.mParts));
    }

    private void endPass(Engine engine, List<Request> requests) {
        for (Request each : requests) {
            each.mShares--;
            if (each.mShares == 0) {
                mFirstEventMillis.add((mTime.nanoTime() - each.mBeginNanos) / 1e6);
                mTracker.decodeStarted(each.mWork.attemptId());
                engine(each.mWork.shares().getFirst().engineId()).mDecoding++;
                schedule(each.mWork.predictedDecodeMillis(), () -> finish(each));
            }
        }
        beginPass(engine);
    }

    private double decodePassMillis(Engine engine) {
        return new ForwardPassModel(mSpec)
                .decodePassMillis(engine.mDecoding, engine.mRunningTokens);
    }

    private void schedule(double millis, Runnable action) {
        mEvents.add(new Event(mTime.nanoTime() + Math.round(millis * 1e6), action));
    }

    private void finish(Request request) {
        EngineWork work = request.mWork;
        mTracker.ended(work.attemptId());
        for (EngineShare share : work.shares()) {
            Engine engine = engine(share.engineId());
            engine.mRunning -= share.isDecodeEngine() ? 1 : 0;
            engine.mRunningTokens -= share.memoryTokens();
        }
        engine(work.shares().getFirst().engineId()).mDecoding--;
        boolean isSplit = work.shares().size() > 1;
        EngineShare first = work.shares().get(isSplit ? 1 : 0);
        int readTokens = isSplit ? first.prefillTokens() : Integer.MAX_VALUE;
        retain(engine(first.engineId()), request.mParts, readTokens);
    }

    private void retain(Engine engine, List<PromptPart> parts, int readTokens) {
        List<String> beginnings = beginnings(parts);
        for (int i = parts.size() - 1; i >= 0; i--) {
            int before = parts.subList(0, i).stream().mapToInt(PromptPart::tokens).sum();
            int tokens = Math.min(parts.get(i).tokens(), readTokens - before);
            if (tokens > 0) {
                engine.mRetained.remove(beginnings.get(i));
                engine.mRetained.put(beginnings.get(i), tokens);
            }
        }
        evict(engine, mSpec.memoryTokens() - engine.mRunningTokens);
    }

    private static void evict(Engine engine, long room) {
        long total = engine.mRetained.values().stream().mapToLong(Integer::longValue).sum();
        Iterator<Integer> oldest = engine.mRetained.values().iterator();
        while (total > room && oldest.hasNext()) {
            total -= oldest.next();
            oldest.remove();
        }
    }

    private int heldTokens(Engine engine, List<PromptPart> parts) {
        evict(engine, mSpec.memoryTokens() - engine.mRunningTokens);
        List<String> beginnings = beginnings(parts);
        int tokens = 0;
        for (int i = 0; i < parts.size() - 1; i++) {
            int held = engine.mRetained.getOrDefault(beginnings.get(i), 0);
            tokens += held;
            if (held < parts.get(i).tokens()) {
                break;
            }
        }
        return tokens;
    }

    private static List<String> beginnings(List<PromptPart> parts) {
        List<String> result = new ArrayList<>();
        for (PromptPart each : parts) {
            result.add((result.isEmpty() ? "" : result.getLast()) + '/' + each.id());
        }
        return result;
    }

    /** Lets the engine lose what it retains. */
    void evictAll(String engineId) {
        engine(engineId).mRetained.clear();
    }

    double lastFirstEventMillis() {
        return mFirstEventMillis.getLast();
    }

    double meanFirstEventMillis() {
        return mFirstEventMillis.stream().mapToDouble(each -> each).average().orElseThrow();
    }

    /** The time within which this fraction of the first events came. */
    double firstEventMillis(double fraction) {
        List<Double> sorted = mFirstEventMillis.stream().sorted().toList();
        return sorted.get((int) Math.ceil(fraction * sorted.size()) - 1);
    }

    /** Largest number of requests that ran at one engine at a time. */
    int maxRunning() {
        return mEngines.values().stream().mapToInt(each -> each.mMaxRunning).max().orElse(0);
    }

    /** Number of requests of the engine with the most. */
    int maxRequests() {
        return mEngines.values().stream().mapToInt(each -> each.mRequests).max().orElse(0);
    }

    private Engine engine(String id) {
        return mEngines.computeIfAbsent(id, each -> new Engine());
    }
}
