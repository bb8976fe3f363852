package org.rattanport.kernel.gateway;

import java.util.List;
import org.rattanport.kernel.error.Verdict;

/**
 * Failure of one attempt at a back end.
 *
 * @param attemptId attempt id that the caller sent
 * @param backEndId id of the back end
 * @param errorCode error code, in its wire form
 * @param verdict whether the back end may have run the request
 * @param hasResponseStarted whether the caller had received a part of the response
 * @param sharedParts ids of the prompt's parts that other prompts may contain too
 * @param reason error message
 */
public record AttemptFailure(
        String attemptId,
        String backEndId,
        String errorCode,
        Verdict verdict,
        boolean hasResponseStarted,
        List<String> sharedParts,
        String reason) {}
