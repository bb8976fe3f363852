package org.rattanport.kernel.platform;

import java.util.List;

/** The table service's answer to a transaction. */
public sealed interface TransactionResult {
    /** All writes took effect; the revisions are in the order of the writes. */
    record Committed(List<Long> revisions) implements TransactionResult {}

    /** No write took effect, since these rows did not have the expected revision. */
    record Conflict(List<String> keys) implements TransactionResult {}
}
