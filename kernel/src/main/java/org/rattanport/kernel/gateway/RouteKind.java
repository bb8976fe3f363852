package org.rattanport.kernel.gateway;

/** Whether and how the requests of a route may be retried. */
public enum RouteKind {
    /** Requests may run more than once. */
    IDEMPOTENT,
    /** Requests run at most once for each attempt id of a caller. */
    NON_IDEMPOTENT,
    /** The response is a stream of events; retries need a resumable route. */
    STREAMING
}
