package org.rattanport.connectors.target;

import org.rattanport.connectors.http.HttpClientResponse;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.model.Target;

/** Maps failed calls and error responses of targets to errors with the right verdict. */
final class TargetErrors {
    private static final String LEAVING = "leaving";
    private static final String REFUSED = "refused";
    private static final int SERVICE_UNAVAILABLE = 503;

    private TargetErrors() {}

    /** Maps the failure of a call that got no complete response. */
    static RattanportException callFailed(Target target, RattanportException failure) {
        ErrorCode code =
                failure.code() == ErrorCode.DEADLINE_EXCEEDED
                                && failure.verdict() == Verdict.NOT_RUN
                        ? ErrorCode.TARGET_FAILED
                        : failure.code();
        return RattanportException.builder(
                        code,
                        "target "
                                + target.id()
                                + " did not complete the call: "
                                + failure.getMessage())
                .verdict(failure.verdict())
                .cause(failure)
                .build();
    }

    /**
     * Maps an error response of an engine. With one of the two known codes the engine guarantees
     * that it did not run the request; any other response may come from a crash while the request
     * ran.
     */
    static RattanportException engineError(Target target, HttpClientResponse response) {
        String code = response.errorCode();
        if (response.status() == SERVICE_UNAVAILABLE && code.equals(LEAVING)) {
            return error(ErrorCode.TARGET_LEAVING, Verdict.NOT_RUN, target, response, code);
        }
        if (code.equals(REFUSED)) {
            return error(ErrorCode.TARGET_REFUSED, Verdict.NOT_RUN, target, response, code);
        }
        return error(ErrorCode.TARGET_FAILED, Verdict.MAY_HAVE_RUN, target, response, code);
    }

    private static RattanportException error(
            ErrorCode code,
            Verdict verdict,
            Target target,
            HttpClientResponse response,
            String detail) {
        return RattanportException.builder(
                        code,
                        "target "
                                + target.id()
                                + " returned status "
                                + response.status()
                                + " "
                                + detail)
                .verdict(verdict)
                .build();
    }
}
