package org.rattanport.kernel.platform;

import java.util.List;

/** Result of a transaction of the table service. */
public sealed interface TransactionResult {
    /** All writes took effect; the revisions are in the order of the writes. */
    record Committed(List<Long> revisions) implements TransactionResult {}

    /** No write took effect, because these rows did not have the expected revision. */
    record Conflict(List<String> keys) implements TransactionResult {}
}
