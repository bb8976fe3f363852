package org.rattanport.decisions.action;

/** Thrown inside this package when a claim could not be confirmed before its deadline. */
final class ClaimUnknownException extends RuntimeException {
    private final String mKey;
    private final Claim mClaim;
    private final boolean mMayBeWritten;

    ClaimUnknownException(String key, Claim claim, boolean mayBeWritten, Throwable cause) {
        super("the claim on an idempotency key was not confirmed", cause);
        mKey = key;
        mClaim = claim;
        mMayBeWritten = mayBeWritten;
    }

    String key() {
        return mKey;
    }

    /** The claim that the attempt tried to write. */
    Claim claim() {
        return mClaim;
    }

    /** Whether the row may exist now or appear later. */
    boolean mayBeWritten() {
        return mMayBeWritten;
    }
}
