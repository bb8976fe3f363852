package org.rattanport.kernel.error;

/** Says whether the work behind a failed or finished request may have run at a target. */
public enum Verdict {
    /** No byte reached a target, or the target guarantees that it did nothing. */
    NOT_RUN("not_run"),
    /** The call may have reached a target and its effect is unknown. */
    MAY_HAVE_RUN("may_have_run"),
    /** A target answered the call. */
    RAN("ran");

    private final String mText;

    Verdict(String text) {
        mText = text;
    }

    /** The form used in messages to callers. */
    public String text() {
        return mText;
    }

    /** Returns the verdict of two attempts together: the one that claims less safety. */
    public Verdict and(Verdict other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
