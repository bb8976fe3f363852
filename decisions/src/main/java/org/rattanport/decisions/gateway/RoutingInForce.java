package org.rattanport.decisions.gateway;

import java.util.Optional;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.gateway.CallerLimits;
import org.rattanport.kernel.gateway.RoutingDocument;

/** The routing document that this instance acts on; its version only rises. */
public final class RoutingInForce {
    private static final Logger LOGGER = Logger.getLogger(RoutingInForce.class);

    private final EventStreams mEvents;
    private volatile Optional<RouteTable> mActive = Optional.empty();

    public RoutingInForce(EventStreams events) {
        mEvents = events;
    }

    /** Takes the document when it is newer than the one in force; returns whether it did. */
    public synchronized boolean offer(RoutingDocument document) {
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

    /** Version in force, or zero when none is known. */
    public long version() {
        return mActive.map(table -> table.document().version()).orElse(0L);
    }

    public CallerLimits limits() {
        return mActive.map(table -> table.document().limits()).orElse(CallerLimits.DEFAULTS);
    }

    /** Returns the table in force, or refuses the request as not run. */
    public RouteTable require() {
        return mActive.orElseThrow(
                () ->
                        new RattanportException(
                                ErrorCode.ENVIRONMENT_UNAVAILABLE,
                                "this instance has no routing document yet"));
    }
}
