package org.rattanport.decisions.gateway.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.EngineShare;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.time.TimeSource;

/**
 * Remembers which prompts this instance placed at which engine. It answers the load of callers
 * whose prompts begin alike, such as the turns of a session. The memory is lost with the instance,
 * and another coordinator begins without one.
 */
public final class RememberedPrompts implements RetainedPrompts {
    /**
     * Weight of a failure after which an engine may have lost its memory: a broken connection or
     * none at all. Refusals and error responses weigh less.
     */
    private static final double LOST_MEMORY_WEIGHT = 1;

    private final TimeSource mTime;
    private final Map<String, EngineMemory> mEngines = new HashMap<>();

    /** Engine of each running request, by the request's attempt id. */
    private final Map<String, String> mEngineIds = new HashMap<>();

    public RememberedPrompts(TimeSource time) {
        mTime = time;
    }

    @Override
    public synchronized long heldTokens(
            BackEnd engine, List<PromptPrefix> prefixes, long roomTokens) {
        EngineMemory memory = mEngines.get(engine.id());
        return memory == null || !memory.isOf(engine)
                ? 0
                : memory.heldTokens(prefixes, roomTokens, mTime.nanoTime());
    }

    /**
     * Each engine holds the part of the prompt that it prefilled. The engines read in the order of
     * the placement and the decode engine last, so the first prefill engine has the beginning.
     */
    @Override
    public synchronized void recordPlaced(Placement placement, List<PromptPrefix> prefixes) {
        removeEmpty();
        if (placement.work().isEmpty() || prefixes.isEmpty()) {
            return;
        }
        EngineWork work = placement.work().get();
        recordEnded(work.attemptId());
        boolean isSplit = !placement.prefillEngines().isEmpty();
        BackEnd engine = isSplit ? placement.prefillEngines().getFirst() : placement.backEnd();
        List<PromptPrefix> read = isSplit ? within(prefixes, tokensAt(engine, work)) : prefixes;
        EngineMemory memory = mEngines.get(engine.id());
        if (memory == null || !memory.isOf(engine)) {
            forget(engine.id());
            memory = new EngineMemory(engine);
            mEngines.put(engine.id(), memory);
        }
        Duration firstEvent = Duration.ofNanos(nanos(work.predictedFirstEventMillis()));
        memory.recordPlaced(work.attemptId(), read, mTime.nanoTime(), firstEvent);
        mEngineIds.put(work.attemptId(), engine.id());
    }

    private static long nanos(double millis) {
        return Math.round(millis * Duration.ofMillis(1).toNanos());
    }

    private static long tokensAt(BackEnd engine, EngineWork work) {
        return work.shares().stream()
                .filter(each -> each.engineId().equals(engine.id()))
                .mapToLong(EngineShare::prefillTokens)
                .sum();
    }

    /** The prefixes of the first tokens; the last one may lack the end of its part. */
    private static List<PromptPrefix> within(List<PromptPrefix> prefixes, long tokens) {
        List<PromptPrefix> result = new ArrayList<>();
        long rest = tokens;
        for (PromptPrefix each : prefixes) {
            if (rest <= 0) {
                break;
            }
            result.add(new PromptPrefix(each.id(), (int) Math.min(each.tokens(), rest)));
            rest -= each.tokens();
        }
        return result;
    }

    @Override
    public synchronized void recordEnded(String attemptId) {
        String engineId = mEngineIds.remove(attemptId);
        if (engineId != null) {
            mEngines.get(engineId).recordEnded(attemptId, mTime.nanoTime());
        }
    }

    @Override
    public synchronized void recordFailure(String engineId, double weight) {
        if (weight >= LOST_MEMORY_WEIGHT) {
            forget(engineId);
        }
    }

    private void forget(String engineId) {
        mEngines.remove(engineId);
        mEngineIds.values().removeIf(engineId::equals);
    }

    /** Removes engines that are gone or unused, so that their number stays bounded. */
    private void removeEmpty() {
        mEngines.values().removeIf(each -> each.isEmpty(mTime.nanoTime()));
    }
}
