package org.rattanport.kernel.model;

import java.util.UUID;

/** Identifies one request of a caller over all its attempts. */
public record RequestId(String value) {
    public static RequestId random() {
        return new RequestId("req-" + UUID.randomUUID());
    }

    @Override
    public String toString() {
        return value;
    }
}
