package org.rattanport.decisions.gateway.relay;

import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;

/** The error of a stream that ended before it was complete, or does not continue another one. */
final class BrokenStream {
    private BrokenStream() {}

    static RattanportException because(String reason) {
        return RattanportException.builder(ErrorCode.TARGET_FAILED, reason)
                .verdict(Verdict.MAY_HAVE_RUN)
                .build();
    }
}
