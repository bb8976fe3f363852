package org.rattanport.decisions.action;

/** Signals that the table service did not confirm a claim in time; the attempt must never send. */
final class ClaimUnconfirmedException extends RuntimeException {
    private final String mKey;
    private final Claim mClaim;
    private final boolean mMayBeWritten;

    ClaimUnconfirmedException(String key, Claim claim, boolean mayBeWritten, Throwable cause) {
        super("the table service did not confirm the claim on an idempotency key", cause);
        mKey = key;
        mClaim = claim;
        mMayBeWritten = mayBeWritten;
    }

    String key() {
        return mKey;
    }

    /** Returns the claim that the attempt tried to write. */
    Claim claim() {
        return mClaim;
    }

    /** Whether the row may exist now, or a delayed write may still create it. */
    boolean mayBeWritten() {
        return mMayBeWritten;
    }
}
