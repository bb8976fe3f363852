package org.rattanport.kernel.gateway;

import java.util.Locale;

/** An event about the rate limit of a back end, for metrics. */
public record RateLimitEvent(String backEndId, Kind kind) {
    /** What happened. */
    public enum Kind {
        /** The back end named a limit, or another one than before. */
        NAMED,
        /** The back end named no limit any more. */
        ENDED,
        /** This instance got a token for a request. */
        GRANTED,
        /** A request was not sent to the back end, because there was no token for it. */
        HELD_BACK,
        /** The owner of the limit did not respond. */
        UNANSWERED,
        /** A request was sent to a cold back end without a token, as no owner was reached. */
        FALLBACK;

        /** Returns the form of the kind in metrics. */
        public String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
