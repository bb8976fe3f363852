package org.rattanport.decisions.action;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.platform.RowWrite;
import org.rattanport.kernel.platform.TableService;
import org.rattanport.kernel.platform.TransactionResult;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Batches the claim writes of this instance into transactions. The table service limits the rate of
 * transactions, so batching keeps that limit from applying to each call. A single thread commits;
 * writes that arrive during a commit form the next batch.
 */
public final class ClaimWriter implements AutoCloseable {
    private static final int MAX_BATCH_WRITES = 64;
    private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(2);

    private final TableService mTable;
    private final TimeSource mTime;
    private final BlockingQueue<PendingWrite> mQueue = new LinkedBlockingQueue<>();
    private final Thread mTask;

    public ClaimWriter(TableService table, TimeSource time) {
        mTable = table;
        mTime = time;
        mTask = Tasks.start("claim-writer", this::run);
    }

    /**
     * Writes one row.
     *
     * @return whether the write took effect; false when the row has another revision
     * @throws RattanportException {@code STORE_UNAVAILABLE} with the verdict that covers the write
     */
    public boolean write(RowWrite write, Deadline deadline) {
        PendingWrite pending = new PendingWrite(write, new CompletableFuture<>());
        mQueue.add(pending);
        try {
            return pending.result().get(deadline.remaining(mTime).toNanos(), TimeUnit.NANOSECONDS);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof RattanportException error) {
                throw error;
            }
            throw unavailable(Verdict.MAY_HAVE_RUN, e);
        } catch (TimeoutException e) {
            // A write removed before the writer thread takes it can no longer take effect.
            Verdict verdict = mQueue.remove(pending) ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
            throw unavailable(verdict, e);
        } catch (InterruptedException e) {
            mQueue.remove(pending);
            throw RattanportException.interrupted().withVerdict(Verdict.MAY_HAVE_RUN);
        }
    }

    private void run() {
        try {
            while (true) {
                List<PendingWrite> batch = new ArrayList<>();
                batch.add(mQueue.take());
                mQueue.drainTo(batch, MAX_BATCH_WRITES - 1);
                commit(batch);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Commits a batch; removes writes that conflict and retries the others. */
    private void commit(List<PendingWrite> batch) {
        List<PendingWrite> remaining = deferDuplicateKeys(batch);
        while (!remaining.isEmpty()) {
            TransactionResult result;
            try {
                List<RowWrite> writes = remaining.stream().map(PendingWrite::write).toList();
                result = mTable.commit(writes, Deadline.after(mTime, COMMIT_TIMEOUT));
            } catch (RuntimeException e) {
                remaining.forEach(each -> each.result().completeExceptionally(e));
                return;
            }
            if (!(result instanceof TransactionResult.Conflict conflict)) {
                remaining.forEach(each -> each.result().complete(true));
                return;
            }
            Set<String> conflictingKeys = new HashSet<>(conflict.keys());
            remaining.stream()
                    .filter(each -> conflictingKeys.contains(each.write().key()))
                    .forEach(each -> each.result().complete(false));
            remaining =
                    remaining.stream()
                            .filter(each -> !conflictingKeys.contains(each.write().key()))
                            .toList();
        }
    }

    /** Requeues repeated writes of a row, since a transaction may write each row only once. */
    private List<PendingWrite> deferDuplicateKeys(List<PendingWrite> batch) {
        Set<String> seen = new HashSet<>();
        var byFirstWrite =
                batch.stream()
                        .collect(Collectors.partitioningBy(each -> seen.add(each.write().key())));
        mQueue.addAll(byFirstWrite.get(false));
        return byFirstWrite.get(true);
    }

    private static RattanportException unavailable(Verdict verdict, Exception cause) {
        return RattanportException.builder(
                        ErrorCode.STORE_UNAVAILABLE,
                        "the table service did not confirm the claim write in time")
                .verdict(verdict)
                .cause(cause)
                .build();
    }

    @Override
    public void close() {
        mTask.interrupt();
    }

    private record PendingWrite(RowWrite write, CompletableFuture<Boolean> result) {}
}
