package org.rattanport.kernel.gateway;

import org.rattanport.kernel.error.Verdict;

/**
 * A back end that did not answer an attempt well.
 *
 * @param request caller's id of the attempt
 * @param backEnd id of the back end
 * @param code code of the error
 * @param verdict whether it may have run the request
 * @param hasStarted whether the caller had a part of the answer
 * @param reason what happened
 */
public record AttemptFailure(
        String request,
        String backEnd,
        String code,
        Verdict verdict,
        boolean hasStarted,
        String reason) {}
