package org.rattanport.kernel.gateway;

/** What may be repeated of the requests of a route. */
public enum RouteKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once for each attempt of a caller. */
    NON_IDEMPOTENT,
    /** Answered by a stream of events; repeatable only on a resumable route. */
    STREAMING
}
