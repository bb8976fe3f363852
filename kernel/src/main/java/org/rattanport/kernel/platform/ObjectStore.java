package org.rattanport.kernel.platform;

import java.util.List;
import java.util.Optional;
import org.rattanport.kernel.time.Deadline;

/**
 * The platform's object store. Its methods throw the same errors as those of {@link TableService}.
 */
public interface ObjectStore {
    void put(String key, byte[] content, Deadline deadline);

    Optional<byte[]> get(String key, Deadline deadline);

    void delete(String key, Deadline deadline);

    List<String> list(String prefix, Deadline deadline);
}
