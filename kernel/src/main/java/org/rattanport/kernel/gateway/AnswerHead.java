package org.rattanport.kernel.gateway;

import java.util.List;
import java.util.Optional;

/**
 * Status and headers of a back end's answer.
 *
 * @param status HTTP status
 * @param headers headers that go on to the caller
 * @param attemptId attempt that it answers, as the back end says
 * @param isSealed whether it carries the back end's signature
 * @param isNotRun whether the back end guarantees that it did not run the request
 * @param isOtherBackEnd whether another back end than the expected one answered
 * @param endsWithConnection whether its body has no length, so that only the end of the connection
 *     tells its end; it is passed on in the same way, as that end may have come too early
 * @param culprit address of the engine at fault, where the answer names one
 * @param load how busy the back end is
 */
public record AnswerHead(
        int status,
        List<Header> headers,
        Optional<String> attemptId,
        boolean isSealed,
        boolean isNotRun,
        boolean isOtherBackEnd,
        boolean endsWithConnection,
        Optional<String> culprit,
        Optional<BackEndLoad> load) {
    /** Whether the status tells of success. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
