package org.rattanport.kernel.gateway;

import java.util.Locale;

/**
 * An exchange with a caller that ended without a whole response.
 *
 * @param attemptId attempt id that the caller sent, or a dash
 * @param state how far the exchange had come
 * @param cause why it ended
 * @param reason error message
 */
public record UnansweredExchange(String attemptId, State state, Cause cause, String reason) {
    /** How far an exchange has come. */
    public enum State {
        /** The body of the request is still arriving. */
        READING,
        /** The request was read, and nothing of a response was sent. */
        UNANSWERED,
        /** A part of the response was sent. */
        STARTED,
        /** The response was sent as a whole. */
        ANSWERED;

        /** Returns the form of the state in logs and metrics. */
        public String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Why an exchange ended. */
    public enum Cause {
        /** The caller closed the connection, or it broke. */
        CALLER_GONE,
        /** This instance cut the exchange at its stop. */
        STOPPING,
        /** The response broke off, or the caller did not read it. */
        BROKEN_OFF,
        /** An unexpected error. */
        ERROR;

        /** Returns the form of the cause in logs and metrics. */
        public String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
