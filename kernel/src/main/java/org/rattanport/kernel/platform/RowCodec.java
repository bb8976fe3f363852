package org.rattanport.kernel.platform;

/** Encoding of the records that rows of the table service hold; connectors implement it. */
public interface RowCodec {
    String encode(Record value);

    /**
     * Decodes a row.
     *
     * @throws org.rattanport.kernel.error.RattanportException with code {@code INTERNAL} when the
     *     text does not hold such a record
     */
    <T extends Record> T decode(String text, Class<T> type);
}
