package org.rattanport.kernel.platform;

import java.util.Optional;

/**
 * One conditional write of a transaction.
 *
 * @param key key of the row
 * @param expectedRevision revision that the row must have; {@link #ABSENT} if the row must not
 *     exist
 * @param value new value; empty to delete the row
 */
public record RowWrite(String key, long expectedRevision, Optional<String> value) {
    public static final long ABSENT = 0;

    public static RowWrite insert(String key, String value) {
        return new RowWrite(key, ABSENT, Optional.of(value));
    }

    public static RowWrite update(Row row, String value) {
        return new RowWrite(row.key(), row.revision(), Optional.of(value));
    }

    public static RowWrite delete(Row row) {
        return new RowWrite(row.key(), row.revision(), Optional.empty());
    }
}
