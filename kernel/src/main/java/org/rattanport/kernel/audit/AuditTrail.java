package org.rattanport.kernel.audit;

import java.util.List;
import org.rattanport.kernel.time.Deadline;

/** The audit trail of changes, stored in the platform's table service. */
public interface AuditTrail {
    /** Queues an entry for writing. Entries stay queued while the store is down. */
    void record(AuditEntry entry);

    /** Returns the latest entries, newest first. */
    List<AuditEntry> latest(int limit, Deadline deadline);
}
