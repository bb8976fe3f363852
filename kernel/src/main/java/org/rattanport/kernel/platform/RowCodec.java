package org.rattanport.kernel.platform;

/** Encodes records as values of table service rows. Connectors implement this interface. */
public interface RowCodec {
    String encode(Record value);

    /**
     * Decodes the value of a row.
     *
     * @throws org.rattanport.kernel.error.RattanportException with code {@code INTERNAL} when the
     *     value does not encode a record of that type
     */
    <T extends Record> T decode(String encoded, Class<T> type);
}
