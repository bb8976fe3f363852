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
 * Groups the claim writes of this instance into transactions, so that the store's write budget
 * bounds transactions and not actions. One task writes; while a transaction is under way the next
 * writes gather.
 */
public final class ClaimWriter implements AutoCloseable {
    private static final int LARGEST_GROUP = 64;
    private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(2);

    private final TableService mTable;
    private final TimeSource mTime;
    private final BlockingQueue<Pending> mQueue = new LinkedBlockingQueue<>();
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
     * @throws RattanportException {@code STORE_UNAVAILABLE} with the verdict on the write
     */
    public boolean write(RowWrite write, Deadline deadline) {
        Pending pending = new Pending(write, new CompletableFuture<>());
        mQueue.add(pending);
        try {
            return pending.result().get(deadline.remaining(mTime).toNanos(), TimeUnit.NANOSECONDS);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof RattanportException error) {
                throw error;
            }
            throw unavailable(Verdict.MAY_HAVE_RUN, e);
        } catch (TimeoutException e) {
            // Taken back before the task saw it, the write cannot take effect any more.
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
                List<Pending> group = new ArrayList<>();
                group.add(mQueue.take());
                mQueue.drainTo(group, LARGEST_GROUP - 1);
                commit(group);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Commits a group; rows in conflict are taken out and the others are written again. */
    private void commit(List<Pending> group) {
        List<Pending> left = deferRepeatedKeys(group);
        while (!left.isEmpty()) {
            TransactionResult result;
            try {
                List<RowWrite> writes = left.stream().map(Pending::write).toList();
                result = mTable.commit(writes, Deadline.after(mTime, COMMIT_TIMEOUT));
            } catch (RuntimeException e) {
                left.forEach(each -> each.result().completeExceptionally(e));
                return;
            }
            if (!(result instanceof TransactionResult.Conflict conflict)) {
                left.forEach(each -> each.result().complete(true));
                return;
            }
            Set<String> keys = new HashSet<>(conflict.keys());
            left.stream()
                    .filter(each -> keys.contains(each.write().key()))
                    .forEach(each -> each.result().complete(false));
            left = left.stream().filter(each -> !keys.contains(each.write().key())).toList();
        }
    }

    /** A transaction holds each row once; a further write of the same row waits for the next. */
    private List<Pending> deferRepeatedKeys(List<Pending> group) {
        Set<String> seen = new HashSet<>();
        var parts =
                group.stream()
                        .collect(Collectors.partitioningBy(each -> seen.add(each.write().key())));
        mQueue.addAll(parts.get(false));
        return parts.get(true);
    }

    private static RattanportException unavailable(Verdict verdict, Exception cause) {
        return RattanportException.builder(
                        ErrorCode.STORE_UNAVAILABLE, "the claim was not written in time")
                .verdict(verdict)
                .cause(cause)
                .build();
    }

    @Override
    public void close() {
        mTask.interrupt();
    }

    private record Pending(RowWrite write, CompletableFuture<Boolean> result) {}
}
