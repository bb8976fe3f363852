package org.rattanport.decisions.gateway.discovery;

import java.util.Optional;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.gateway.CallerLimits;
import org.rattanport.kernel.gateway.RoutingDocument;

/** The active routing document of this instance; its version never decreases. */
public final class ActiveRouting {
    private static final Logger LOGGER = Logger.getLogger(ActiveRouting.class);

    private final EventStreams mEvents;
    private volatile Optional<RouteTable> mActive = Optional.empty();

    public ActiveRouting(EventStreams events) {
        mEvents = events;
    }

    /**
     * Activates the document if it is newer than the active one; returns whether it was activated.
     */
    public synchronized boolean activateIfNewer(RoutingDocument document) {
        if (document.version() <= version()) {
            return false;
        }
        mActive = Optional.of(new RouteTable(document));
        LOGGER.info(
                LogLine.of("document-in-force")
                        .with("version", document.version())
                        .with("routes", document.routes().size())
                        .with("accounts", document.accounts().size()));
        mEvents.publish(document);
        return true;
    }

    public Optional<RouteTable> current() {
        return mActive;
    }

    /** Version of the active document, or zero if there is none. */
    public long version() {
        return mActive.map(table -> table.document().version()).orElse(0L);
    }

    public CallerLimits limits() {
        return mActive.map(table -> table.document().limits()).orElse(CallerLimits.DEFAULTS);
    }

    /** Returns the active route table, or throws with the verdict {@code NOT_RUN}. */
    public RouteTable require() {
        return mActive.orElseThrow(
                () ->
                        new RattanportException(
                                ErrorCode.ENVIRONMENT_UNAVAILABLE,
                                "this instance has no routing document yet"));
    }
}
