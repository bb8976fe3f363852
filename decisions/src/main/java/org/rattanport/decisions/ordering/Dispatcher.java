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
import org.rattanport.decisions.target.EngineBoard;
import org.rattanport.decisions.target.EngineBoard.Candidate;
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
 * Holds attempts until an engine can take them, and hands them out in the order of the policy. The
 * queue of a class whose first entry finds no engine does not hold up other classes.
 */
public final class Dispatcher {
    private static final long CANCELLATION_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final double NANOS_PER_SECOND = 1e9;

    /** The engines that may serve a model now. */
    @FunctionalInterface
    public interface EngineSource {
        List<Target> engines(String model);
    }

    private final EngineSource mEngines;
    private final EngineBoard mEngineLoads;
    private final PlacementPolicy mPlacement;
    private final OrderingPolicy mOrdering;
    private final java.util.function.IntSupplier mInstanceCount;
    private final TimeSource mTime;
    private final Map<String, Map<Integer, List<QueueEntry>>> mQueues = new HashMap<>();
    private final Map<String, Double> mAccountFinishTags = new HashMap<>();
    private double mVirtualTime;
    private long mQueuedTokens;

    public Dispatcher(
            EngineSource engines,
            EngineBoard board,
            PlacementPolicy placement,
            OrderingPolicy ordering,
            java.util.function.IntSupplier instances,
            TimeSource time) {
        mEngines = engines;
        mEngineLoads = board;
        mPlacement = placement;
        mOrdering = ordering;
        mInstanceCount = instances;
        mTime = time;
    }

    /** Prompt tokens that wait in this instance. */
    public synchronized long queuedTokens() {
        return mQueuedTokens;
    }

    /** Prompt tokens that wait for a model in a length class, or in all shorter ones too. */
    public synchronized long queuedTokens(String model, int lengthClass) {
        return mQueues.getOrDefault(model, Map.of()).getOrDefault(lengthClass, List.of()).stream()
                .mapToLong(each -> each.request().promptTokens())
                .sum();
    }

    /**
     * Waits until an engine takes the attempt. The caller must call {@link #release} when the
     * attempt has ended.
     *
     * @throws RattanportException {@code DEADLINE_EXCEEDED} or {@code CANCELLED}; not run
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
                throw withdraw(entry, ErrorCode.DEADLINE_EXCEEDED, "no engine was free in time");
            }
            try {
                return entry.placed()
                        .get(Math.min(remaining, CANCELLATION_CHECK_NANOS), TimeUnit.NANOSECONDS);
            } catch (TimeoutException e) {
                if (cancellation.isCancelled()) {
                    throw withdraw(entry, ErrorCode.CANCELLED, "the caller has gone");
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

    /** Takes the attempt out of the load of its engine. */
    public void release(Placement placement, String key) {
        mEngineLoads.view(placement.target().id()).ifPresent(view -> view.removeAttempt(key));
        dispatchWaiting();
    }

    /** Hands out what can be placed now; called whenever load or targets have changed. */
    public synchronized void dispatchWaiting() {
        long now = mTime.nanoTime();
        for (Map.Entry<String, Map<Integer, List<QueueEntry>>> model : mQueues.entrySet()) {
            if (model.getValue().values().stream().allMatch(List::isEmpty)) {
                continue;
            }
            List<Candidate> candidates = mEngineLoads.candidates(mEngines.engines(model.getKey()));
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
                .view(placement.target().id())
                .ifPresent(
                        view ->
                                view.addAttempt(
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
            // It was placed in the same moment; nothing was sent, so the engine's load is given
            // back.
            entry.placed().thenAccept(placement -> release(placement, entry.key()));
        }
        return new RattanportException(code, message);
    }
}
