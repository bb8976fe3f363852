package org.rattanport.kernel.gateway;

import java.util.Locale;

/** What a back end said about itself in a response, as an event for metrics. */
public record BackEndNotice(String backEndId, Kind kind) {
    /** What the back end asks for. */
    public enum Kind {
        /** It stops soon, and no new request should go there. */
        LEAVING,
        /** It wants no requests for a time, and is sound. */
        PAUSE;

        /** Returns the form of the kind in logs and metrics. */
        public String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
