package org.rattanport.kernel.audit;

import java.util.List;
import org.rattanport.kernel.time.Deadline;

/** The audit trail of changes, kept in the platform's table service. */
public interface AuditTrail {
    /** Queues an entry for writing; entries wait while the store is down. */
    void record(AuditEntry entry);

    /** Returns the latest entries, the newest first. */
    List<AuditEntry> latest(int limit, Deadline deadline);
}
