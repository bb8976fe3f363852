package org.rattanport.decisions.gateway.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.model.Fingerprint;

/**
 * What one run of an engine is believed to hold. The prompt of a running request belongs to the
 * request; after its end the prompt is retained until memory is needed, the least recently used
 * prefix first. Of one prompt, the longest prefix goes first, as it is of no use without the
 * others.
 */
final class EngineMemory {
    /** Time after which an unused prefix is forgotten, as the engine also has unknown requests. */
    private static final Duration LIFETIME = Duration.ofMinutes(5);

    /** Prefixes that are remembered of one engine, whatever number of short parts callers send. */
    private static final int MAX_RETAINED = 1_024;

    /** A retained prefix: the tokens held of its last part, and when a request last used it. */
    private record Retained(int tokens, long usedNanos) {}

    /**
     * The prompt of a running request.
     *
     * @param held what the engine held of the prompt when the request was placed
     * @param readNanos when the engine has prefilled the rest
     */
    private record Running(List<PromptPrefix> prefixes, List<PromptPrefix> held, long readNanos) {
        List<PromptPrefix> read(long now) {
            return now - readNanos >= 0 ? prefixes : held;
        }
    }

    private final BackEnd mEngine;
    private final Map<String, Running> mRunning = new HashMap<>();

    /** In the order of last use. */
    private final Map<Fingerprint, Retained> mRetained = new LinkedHashMap<>();

    private long mRetainedTokens;

    EngineMemory(BackEnd engine) {
        mEngine = engine;
    }

    /** Whether this is the memory of the run; a later run holds nothing of it. */
    boolean isOf(BackEnd engine) {
        return mEngine.isSameRun(engine);
    }

    /** Returns how many tokens of the prompt's beginning the engine holds. */
    long heldTokens(List<PromptPrefix> prefixes, long roomTokens, long now) {
        removeUnused(now);
        evictTo(roomTokens);
        return held(prefixes, now).stream().mapToLong(PromptPrefix::tokens).sum();
    }

    /** The prefixes that the engine holds; of the last part, it may hold only the beginning. */
    private List<PromptPrefix> held(List<PromptPrefix> prefixes, long now) {
        List<PromptPrefix> held = new ArrayList<>();
        for (PromptPrefix each : prefixes) {
            int tokens = Math.min(each.tokens(), heldTokens(each.id(), now));
            if (tokens > 0) {
                held.add(new PromptPrefix(each.id(), tokens));
            }
            if (tokens < each.tokens()) {
                break;
            }
        }
        return held;
    }

    /** Tokens that the engine holds of the part with which the prefix ends. */
    private int heldTokens(Fingerprint prefix, long now) {
        Retained retained = mRetained.get(prefix);
        int running =
                mRunning.values().stream()
                        .flatMap(each -> each.read(now).stream())
                        .filter(each -> each.id().equals(prefix))
                        .mapToInt(PromptPrefix::tokens)
                        .max()
                        .orElse(0);
        return Math.max(running, retained == null ? 0 : retained.tokens());
    }

    /** Records a request whose prompt the engine prefills until its first event. */
    void recordPlaced(
            String attemptId, List<PromptPrefix> prefixes, long now, Duration firstEvent) {
        List<PromptPrefix> held = held(prefixes, now);
        held.forEach(each -> removeRetained(each.id()));
        mRunning.put(attemptId, new Running(prefixes, held, now + firstEvent.toNanos()));
    }

    /** Records the end of a request; what the engine has read of its prompt is retained. */
    void recordEnded(String attemptId, long now) {
        Running running = mRunning.remove(attemptId);
        if (running == null) {
            return;
        }
        for (PromptPrefix each : running.read(now).reversed()) {
            removeRetained(each.id());
            mRetained.put(each.id(), new Retained(each.tokens(), now));
            mRetainedTokens += each.tokens();
        }
        evictTo(Long.MAX_VALUE);
    }

    boolean isEmpty(long now) {
        removeUnused(now);
        return mRunning.isEmpty() && mRetained.isEmpty();
    }

    private void removeRetained(Fingerprint id) {
        Retained removed = mRetained.remove(id);
        mRetainedTokens -= removed == null ? 0 : removed.tokens();
    }

    private void removeUnused(long now) {
        Iterator<Retained> oldest = mRetained.values().iterator();
        while (oldest.hasNext()) {
            Retained each = oldest.next();
            if (now - each.usedNanos() < LIFETIME.toNanos()) {
                return;
            }
            oldest.remove();
            mRetainedTokens -= each.tokens();
        }
    }

    private void evictTo(long roomTokens) {
        Iterator<Retained> oldest = mRetained.values().iterator();
        while (oldest.hasNext()
                && (mRetainedTokens > roomTokens || mRetained.size() > MAX_RETAINED)) {
            mRetainedTokens -= oldest.next().tokens();
            oldest.remove();
        }
    }
}
