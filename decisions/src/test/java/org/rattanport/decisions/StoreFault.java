package org.rattanport.decisions;

/** Outcome of one call of {@link FakeTable}. */
public enum StoreFault {
    /** The call succeeds. */
    NONE,
    /** The write has no effect, and the error says so. */
    NOT_SENT,
    /** The write has no effect, but the error leaves that open. */
    LOST_REQUEST,
    /** The write takes effect, but the error leaves that open. */
    LOST_ANSWER,
    /** The write takes effect some calls later; the error leaves open whether it did. */
    LATE_WRITE
}
