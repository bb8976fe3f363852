package org.rattanport.decisions.action;

/** State of the claim on an idempotency key. */
public enum ClaimState {
    /** The owner may send the call, or has sent it. */
    SENDING,
    /** The call was answered; the answer is kept. */
    DONE,
    /** The owner never sent the call and never will, or the target guarantees it did nothing. */
    NOT_RUN,
    /** The call may have run; its outcome is not known. */
    UNSETTLED
}
