package org.rattanport.kernel.gateway;

import java.util.Locale;

/** Parts of the store that instances follow, each with versions of its own. */
public enum StorePart {
    DOCUMENT,
    REGISTRY;

    /** Name in logs and metrics. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
