package org.rattanport.kernel.error;

/** Whether a failed or finished request may have run at a target. */
public enum Verdict {
    /** No byte reached a target, or the target guarantees that it did not run the request. */
    NOT_RUN("not_run"),
    /** The request may have reached a target; whether it ran is unknown. */
    MAY_HAVE_RUN("may_have_run"),
    /** A target ran the request and responded. */
    RAN("ran");

    private final String mWireName;

    Verdict(String wireName) {
        mWireName = wireName;
    }

    /** Returns the form of the verdict in messages to callers. */
    public String wireName() {
        return mWireName;
    }

    /**
     * Returns the verdict on two attempts together: the less safe of the two, in the order of the
     * constants.
     */
    public Verdict combinedWith(Verdict other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
