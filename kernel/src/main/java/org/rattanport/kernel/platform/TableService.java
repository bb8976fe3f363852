package org.rattanport.kernel.platform;

import java.util.List;
import java.util.Optional;
import org.rattanport.kernel.time.Deadline;

/**
 * The platform's transactional table service.
 *
 * <p>Every method throws {@code STORE_UNAVAILABLE} when there is no answer in time. Its verdict is
 * {@code MAY_HAVE_RUN} when a write may have taken effect, or may still take effect later.
 */
public interface TableService {
    Optional<Row> get(String key, Deadline deadline);

    /** Applies all writes or none. */
    TransactionResult commit(List<RowWrite> writes, Deadline deadline);

    /** Returns rows whose key has the prefix, in key order, after the given key. */
    List<Row> scan(String prefix, String afterKey, int limit, Deadline deadline);
}
