package org.rattanport.kernel.gateway;

import java.util.Locale;

/** An instance learned that a back end is cold, or that it no longer is; for metrics. */
public record ColdBackEndEvent(String backEndId, Kind kind) {
    /** What the instance learned. */
    public enum Kind {
        /** The back end is cold. */
        COLD,
        /** The back end is no longer cold. */
        WARM;

        /** Returns the form of the kind in metrics. */
        public String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
