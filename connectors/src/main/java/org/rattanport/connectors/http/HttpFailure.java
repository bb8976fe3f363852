package org.rattanport.connectors.http;

import java.io.IOException;
import org.rattanport.kernel.error.Verdict;

/** A call without an answer, and whether it may have reached the other side. */
public final class HttpFailure extends RuntimeException {
    private final Verdict mVerdict;
    private final boolean mIsTimeout;

    HttpFailure(Verdict verdict, boolean isTimeout, IOException cause) {
        super(cause.getClass().getSimpleName() + ": " + cause.getMessage(), cause);
        mVerdict = verdict;
        mIsTimeout = isTimeout;
    }

    public Verdict verdict() {
        return mVerdict;
    }

    public boolean isTimeout() {
        return mIsTimeout;
    }
}
