package org.rattanport.kernel.model;

import java.util.UUID;

/** Id of a caller's request; all its attempts have the same id. */
public record RequestId(String value) {
    public static RequestId random() {
        return new RequestId("req-" + UUID.randomUUID());
    }

    @Override
    public String toString() {
        return value;
    }
}
