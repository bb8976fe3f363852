package org.rattanport.decisions.ordering;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.rattanport.decisions.placement.Placement;
import org.rattanport.decisions.placement.PlacementPolicy;
import org.rattanport.decisions.placement.PlacementRequest;
import org.rattanport.decisions.target.EngineLoadTable;
import org.rattanport.decisions.target.EngineLoadTable.Candidate;
import org.rattanport.kernel.environment.ActiveEnvironment;
import org.rattanport.kernel.environment.ClientAccount;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.request.PromptRequest;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.time.TimeSource;

/**
 * Queues attempts until placement finds an engine for them, in the order of the ordering policy. A
 * length class whose first entry finds no engine does not block the queues of other classes.
 */
public final class Dispatcher {
    private static final long CANCELLATION_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final double NANOS_PER_SECOND = 1e9;

    /** Supplies the engines that currently accept work for a model. */
    @FunctionalInterface
    public interface EngineSource {
        List<Target> engines(String model);
    }

    private final EngineSource mEngineSource;
    private final EngineLoadTable mEngineLoads;
    private final PlacementPolicy mPlacement;
    private final OrderingPolicy mOrdering;
    private final java.util.function.IntSupplier mInstanceCount;
    private final TimeSource mTime;
    private final Map<String, Map<Integer, List<QueueEntry>>> mQueues = new HashMap<>();
    private final Map<String, Double> mAccountFinishTags = new HashMap<>();
    private double mVirtualTime;
    private long mQueuedTokens;

    public Dispatcher(
            EngineSource engineSource,
            EngineLoadTable engineLoads,
            PlacementPolicy placement,
            OrderingPolicy ordering,
            java.util.function.IntSupplier instanceCount,
            TimeSource time) {
        mEngineSource = engineSource;
        mEngineLoads = engineLoads;
        mPlacement = placement;
        mOrdering = ordering;
        mInstanceCount = instanceCount;
        mTime = time;
    }

    /** Prompt tokens in all queues of this instance. */
    public synchronized long queuedTokens() {
        return mQueuedTokens;
    }

    /**
     * Prompt tokens in the queue of a model and length class. An ordering policy that does not
     * separate length classes keeps all prompts in the queue of class 0.
     */
    public synchronized long queuedTokens(String model, int lengthClass) {
        return mQueues.getOrDefault(model, Map.of()).getOrDefault(lengthClass, List.of()).stream()
                .mapToLong(each -> each.request().promptTokens())
                .sum();
    }

    /**
     * Waits until the attempt is placed on an engine. The caller must call {@link #release} when
     * the attempt has ended.
     *
     * @throws RattanportException {@code DEADLINE_EXCEEDED} or {@code CANCELLED}, with the verdict
     *     {@code NOT_RUN}
     */
    public Placement acquire(
            PromptRequest request,
            String key,
            ActiveEnvironment environment,
            Set<TargetId> excluded,
            Cancellation cancellation) {
        QueueEntry entry = enqueue(request, key, environment, excluded);
        dispatchWaiting();
        while (true) {
            long remaining = request.deadline().remaining(mTime).toNanos();
            if (remaining <= 0) {
                throw withdraw(
                        entry,
                        ErrorCode.DEADLINE_EXCEEDED,
                        "no engine had capacity before the deadline");
            }
            try {
                return entry.placed()
                        .get(Math.min(remaining, CANCELLATION_CHECK_NANOS), TimeUnit.NANOSECONDS);
            } catch (TimeoutException e) {
                if (cancellation.isCancelled()) {
                    throw withdraw(entry, ErrorCode.CANCELLED, "the caller disconnected");
                }
                dispatchWaiting();
            } catch (InterruptedException e) {
                withdraw(entry, ErrorCode.CANCELLED, "interrupted");
                throw RattanportException.interrupted();
            } catch (ExecutionException e) {
                throw RattanportException.builder(ErrorCode.INTERNAL, "placement failed")
                        .cause(e)
                        .build();
            }
        }
    }

    /** Removes an ended attempt from the load estimate of its engine. */
    public void release(Placement placement, String key) {
        mEngineLoads.find(placement.target().id()).ifPresent(load -> load.removeAttempt(key));
        dispatchWaiting();
    }

    /** Places every waiting attempt that fits on an engine; runs when load or capacity changes. */
    public synchronized void dispatchWaiting() {
        long now = mTime.nanoTime();
        for (Map.Entry<String, Map<Integer, List<QueueEntry>>> model : mQueues.entrySet()) {
            if (model.getValue().values().stream().allMatch(List::isEmpty)) {
                continue;
            }
            List<Candidate> candidates =
                    mEngineLoads.candidates(mEngineSource.engines(model.getKey()));
            model.getValue().values().forEach(queue -> dispatchQueue(queue, candidates, now));
        }
    }

    private void dispatchQueue(List<QueueEntry> queue, List<Candidate> candidates, long now) {
        while (!queue.isEmpty() && !candidates.isEmpty()) {
            QueueEntry next = queue.stream().min(mOrdering.order(now)).orElseThrow();
            PlacementRequest request =
                    new PlacementRequest(
                            next.request(),
                            next.document(),
                            next.lengthClass(),
                            (now - next.arrivalNanos()) / NANOS_PER_SECOND,
                            next.excluded(),
                            candidates,
                            mInstanceCount.getAsInt(),
                            now);
            var placement = mPlacement.choose(request);
            if (placement.isEmpty()) {
                return;
            }
            place(queue, next, placement.get(), now);
        }
    }

    private void place(List<QueueEntry> queue, QueueEntry entry, Placement placement, long now) {
        queue.remove(entry);
        mQueuedTokens -= entry.request().promptTokens();
        mVirtualTime = Math.max(mVirtualTime, entry.finishTag());
        PromptRequest request = entry.request();
        mEngineLoads
                .find(placement.target().id())
                .ifPresent(
                        load ->
                                load.addAttempt(
                                        entry.key(),
                                        request.promptTokens(),
                                        request.totalTokens(),
                                        now));
        entry.placed().complete(placement);
    }

    private synchronized QueueEntry enqueue(
            PromptRequest request,
            String key,
            ActiveEnvironment environment,
            Set<TargetId> excluded) {
        int lengthClass = environment.document().lengthClassIndex(request.promptTokens());
        int weight =
                environment
                        .document()
                        .account(request.account())
                        .map(ClientAccount::weight)
                        .orElse(1);
        String account = request.account().value();
        double start = Math.max(mVirtualTime, mAccountFinishTags.getOrDefault(account, 0.0));
        double finish = start + (double) request.totalTokens() / weight;
        mAccountFinishTags.put(account, finish);
        QueueEntry entry =
                new QueueEntry(
                        request,
                        key,
                        environment.document(),
                        lengthClass,
                        weight,
                        Set.copyOf(excluded),
                        mTime.nanoTime(),
                        finish,
                        new CompletableFuture<>());
        int queue = mOrdering.separatesLengthClasses() ? lengthClass : 0;
        mQueues.computeIfAbsent(request.model(), ignored -> new TreeMap<>())
                .computeIfAbsent(queue, ignored -> new ArrayList<>())
                .add(entry);
        mQueuedTokens += request.promptTokens();
        return entry;
    }

    private RattanportException withdraw(QueueEntry entry, ErrorCode code, String message) {
        boolean wasWaiting;
        synchronized (this) {
            wasWaiting =
                    mQueues.getOrDefault(entry.request().model(), Map.of()).values().stream()
                            .anyMatch(queue -> queue.remove(entry));
            if (wasWaiting) {
                mQueuedTokens -= entry.request().promptTokens();
            }
        }
        if (!wasWaiting) {
            // The attempt was placed concurrently. The caller sends nothing, so the attempt must
            // not stay in the engine's load estimate.
            entry.placed().thenAccept(placement -> release(placement, entry.key()));
        }
        return new RattanportException(code, message);
    }
}
