package org.rattanport.connectors.target;

import org.rattanport.connectors.http.HttpAnswer;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.model.Target;

/** Turns what targets answer into errors with true verdicts. */
final class TargetErrors {
    private static final String LEAVING = "leaving";
    private static final String REFUSED = "refused";
    private static final int SERVICE_UNAVAILABLE = 503;

    private TargetErrors() {}

    /** A failure without an answer. */
    static RattanportException noResponse(Target target, RattanportException failure) {
        ErrorCode code =
                failure.code() == ErrorCode.DEADLINE_EXCEEDED
                                && failure.verdict() == Verdict.NOT_RUN
                        ? ErrorCode.TARGET_FAILED
                        : failure.code();
        return RattanportException.builder(
                        code, "target " + target.id() + " gave no answer: " + failure.getMessage())
                .verdict(failure.verdict())
                .cause(failure)
                .build();
    }

    /**
     * An error status of an engine. Engines guarantee that they did nothing when they refuse with
     * one of the two known codes; any other status may come from a crash midway.
     */
    static RattanportException engineError(Target target, HttpAnswer answer) {
        String code = answer.errorCode();
        if (answer.status() == SERVICE_UNAVAILABLE && code.equals(LEAVING)) {
            return error(ErrorCode.TARGET_LEAVING, Verdict.NOT_RUN, target, answer, code);
        }
        if (code.equals(REFUSED)) {
            return error(ErrorCode.TARGET_REFUSED, Verdict.NOT_RUN, target, answer, code);
        }
        return error(ErrorCode.TARGET_FAILED, Verdict.MAY_HAVE_RUN, target, answer, code);
    }

    private static RattanportException error(
            ErrorCode code, Verdict verdict, Target target, HttpAnswer answer, String detail) {
        return RattanportException.builder(
                        code,
                        "target "
                                + target.id()
                                + " answered with status "
                                + answer.status()
                                + " "
                                + detail)
                .verdict(verdict)
                .build();
    }
}
