package org.rattanport.kernel.platform;

import java.util.List;
import java.util.Optional;
import org.rattanport.kernel.time.Deadline;

/**
 * The platform's transactional table service.
 *
 * <p>Every method throws {@code STORE_UNAVAILABLE} if the table service does not respond in time.
 * The verdict is {@code MAY_HAVE_RUN} if a write may have taken effect or may still take effect.
 */
public interface TableService {
    Optional<Row> get(String key, Deadline deadline);

    /** Applies all writes atomically, or none of them. */
    TransactionResult commit(List<RowWrite> writes, Deadline deadline);

    /** Returns the rows whose key has the prefix and follows the given key, in key order. */
    List<Row> scan(String prefix, String afterKey, int limit, Deadline deadline);
}
