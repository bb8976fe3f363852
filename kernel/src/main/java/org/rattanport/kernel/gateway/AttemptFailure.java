package org.rattanport.kernel.gateway;

import org.rattanport.kernel.error.Verdict;

/**
 * Failure of one attempt at a back end.
 *
 * @param request attempt id that the caller sent
 * @param backEnd id of the back end
 * @param code error code, in its wire form
 * @param verdict whether the back end may have run the request
 * @param hasStarted whether the caller had received a part of the response
 * @param reason error message
 */
public record AttemptFailure(
        String request,
        String backEnd,
        String code,
        Verdict verdict,
        boolean hasStarted,
        String reason) {}
