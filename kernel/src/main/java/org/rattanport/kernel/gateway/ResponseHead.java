package org.rattanport.kernel.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Status and headers of a back end's response.
 *
 * @param status HTTP status
 * @param headers headers that are forwarded to the caller
 * @param attemptId attempt id that the back end returned, if any
 * @param isSigned whether the response carries the back end's signature
 * @param isNotRun whether the back end guarantees that it did not run the request
 * @param isMisdirected whether the response came from a back end other than the addressed one
 * @param isCloseDelimited whether the body is close-delimited: it has no length, and an orderly end
 *     of the back end's connection ends it. The caller gets it with a length or in chunks
 * @param faultyEngineAddress address of the faulty engine, if the response names one
 * @param load load of the back end, if the response reports it
 * @param isLeaving whether the back end says that it stops soon
 * @param pause time for which a back end that refuses the request wants no other one, if it says so
 */
public record ResponseHead(
        int status,
        List<Header> headers,
        Optional<String> attemptId,
        boolean isSigned,
        boolean isNotRun,
        boolean isMisdirected,
        boolean isCloseDelimited,
        Optional<String> faultyEngineAddress,
        Optional<BackEndLoad> load,
        boolean isLeaving,
        Optional<Duration> pause) {
    private static final Set<Integer> REFUSAL_STATUSES = Set.of(408, 421, 429, 503);

    /** Whether callers conclude from the status that the request has not run. */
    public boolean impliesNotRun() {
        return REFUSAL_STATUSES.contains(status);
    }

    /** Whether the status is a 2xx status. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
