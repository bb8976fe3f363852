package org.rattanport.decisions.audit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import org.rattanport.kernel.audit.AuditEntry;
import org.rattanport.kernel.audit.AuditTrail;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.platform.Row;
import org.rattanport.kernel.platform.RowCodec;
import org.rattanport.kernel.platform.RowWrite;
import org.rattanport.kernel.platform.TableService;
import org.rattanport.kernel.platform.TransactionResult;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Keeps the audit trail in rows of the table service. Keys fall with time, so that a scan finds the
 * latest entries first, and hold the writer and its counter, so that a repeated write is harmless.
 */
public final class TableAuditTrail implements AuditTrail {
    private static final String PREFIX = "audit/";
    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(2);
    private static final int LARGEST_BACKLOG = 10_000;
    private static final int ENTRIES_PER_TRANSACTION = 32;

    private record Pending(String key, AuditEntry entry) {}

    private final TableService mTable;
    private final RowCodec mCodec;
    private final InstanceId mSelf;
    private final TimeSource mTime;
    private final Deque<Pending> mPending = new ArrayDeque<>();
    private long mCounter;

    public TableAuditTrail(TableService table, RowCodec codec, InstanceId self, TimeSource time) {
        mTable = table;
        mCodec = codec;
        mSelf = self;
        mTime = time;
    }

    @Override
    public synchronized void record(AuditEntry entry) {
        mCounter++;
        String key =
                PREFIX
                        + String.format("%015d", Long.MAX_VALUE / 10_000 - entry.wallMillis())
                        + "/"
                        + mSelf
                        + "/"
                        + mCounter;
        if (mPending.size() < LARGEST_BACKLOG) {
            mPending.addLast(new Pending(key, entry));
        }
    }

    @Override
    public List<AuditEntry> latest(int limit, Deadline deadline) {
        List<AuditEntry> entries = new ArrayList<>();
        for (Row row : mTable.scan(PREFIX, "", limit, deadline)) {
            entries.add(mCodec.decode(row.value(), AuditEntry.class));
        }
        return Collections.unmodifiableList(entries);
    }

    /** Writes what waits; entries stay queued when the store fails. */
    public void flush() {
        List<Pending> group;
        synchronized (this) {
            group = mPending.stream().limit(ENTRIES_PER_TRANSACTION).toList();
        }
        if (group.isEmpty()) {
            return;
        }
        List<RowWrite> writes =
                group.stream()
                        .map(each -> RowWrite.insert(each.key(), mCodec.encode(each.entry())))
                        .toList();
        TransactionResult result = mTable.commit(writes, Deadline.after(mTime, WRITE_TIMEOUT));
        synchronized (this) {
            group.stream().filter(each -> isWritten(each, result)).forEach(mPending::remove);
        }
    }

    /** Keys belong to this incarnation alone, so a conflict shows a write whose answer was lost. */
    private static boolean isWritten(Pending pending, TransactionResult result) {
        return !(result instanceof TransactionResult.Conflict conflict)
                || conflict.keys().contains(pending.key());
    }
}
