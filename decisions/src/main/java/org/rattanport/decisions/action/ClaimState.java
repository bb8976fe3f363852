package org.rattanport.decisions.action;

/** State of the claim on an idempotency key. */
public enum ClaimState {
    /** The owner may send the call, or has sent it. */
    SENDING,
    /** The target responded; the row stores the response. */
    DONE,
    /** The owner did not send the call and never will, or the target guarantees it did nothing. */
    NOT_RUN,
    /** The call may have run; its outcome is unknown. */
    UNSETTLED
}
