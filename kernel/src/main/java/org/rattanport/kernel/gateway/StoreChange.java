package org.rattanport.kernel.gateway;

import java.time.Duration;

/**
 * Published when this instance applies a change of the store.
 *
 * @param part what has changed
 * @param version version of the document, or of the store for the registry
 * @param origin where this instance learned it
 */
public record StoreChange(StorePart part, long version, Origin origin) {
    /**
     * Where an instance learned a change.
     *
     * @param source name of the instance that passed it on, or {@code store}
     * @param age time since the first instance on its way read it from the store
     */
    public record Origin(String source, Duration age) {
        /** A response of the store to this instance. */
        public static final Origin STORE = new Origin("store", Duration.ZERO);
    }
}
