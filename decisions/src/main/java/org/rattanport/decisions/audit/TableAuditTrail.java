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
 * Stores the audit trail in rows of the table service. Row keys decrease with time, so that a scan
 * returns the latest entries first. They contain the writing instance and its counter, so that a
 * retried write is harmless.
 */
public final class TableAuditTrail implements AuditTrail {
    private static final String PREFIX = "audit/";
    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_PENDING_ENTRIES = 10_000;
    private static final int ENTRIES_PER_TRANSACTION = 32;

    private record PendingEntry(String key, AuditEntry entry) {}

    private final TableService mTable;
    private final RowCodec mCodec;
    private final InstanceId mSelf;
    private final TimeSource mTime;
    private final Deque<PendingEntry> mPending = new ArrayDeque<>();
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
        if (mPending.size() < MAX_PENDING_ENTRIES) {
            mPending.addLast(new PendingEntry(key, entry));
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

    /** Writes a batch of queued entries; they stay queued when the table service fails. */
    public void flush() {
        List<PendingEntry> batch;
        synchronized (this) {
            batch = mPending.stream().limit(ENTRIES_PER_TRANSACTION).toList();
        }
        if (batch.isEmpty()) {
            return;
        }
        List<RowWrite> writes =
                batch.stream()
                        .map(each -> RowWrite.insert(each.key(), mCodec.encode(each.entry())))
                        .toList();
        TransactionResult result = mTable.commit(writes, Deadline.after(mTime, WRITE_TIMEOUT));
        synchronized (this) {
            batch.stream().filter(each -> isWritten(each, result)).forEach(mPending::remove);
        }
    }

    /** Keys are unique to this incarnation, so a conflict shows a write whose response was lost. */
    private static boolean isWritten(PendingEntry pending, TransactionResult result) {
        return !(result instanceof TransactionResult.Conflict conflict)
                || conflict.keys().contains(pending.key());
    }
}
