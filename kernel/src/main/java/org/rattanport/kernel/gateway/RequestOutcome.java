package org.rattanport.kernel.gateway;

import java.util.List;
import org.rattanport.kernel.error.Verdict;

/**
 * Outcome of one request.
 *
 * @param attemptId attempt id that the caller sent
 * @param outcome {@link #ANSWERED}, {@link #TRUNCATED}, or the error code in its wire form
 * @param verdict whether a back end may have run the request
 * @param route name of the route
 * @param service name of the service
 * @param account account that the caller's key belongs to, or a dash
 * @param backEndIds ids of the back ends that received an attempt, in order
 * @param possibleRuns number of back ends that may have run the request
 * @param status status of the last response from a back end, or 0 if there was none
 * @param durationMillis time from the arrival of the request to its end
 * @param prefillEngineCount number of prefill engines besides the back end in the last attempt
 * @param sharedParts ids of the prompt's parts that other prompts may contain too
 * @param timing when the caller received the response
 * @param documentVersion version of the document that routed the request
 * @param registryVersion version of the registry when the last attempt was written, or -1
 * @param reason reason for the failure of the last attempt, or an empty string
 */
public record RequestOutcome(
        String attemptId,
        String outcome,
        Verdict verdict,
        String route,
        String service,
        String account,
        List<String> backEndIds,
        int possibleRuns,
        int status,
        long durationMillis,
        int prefillEngineCount,
        List<String> sharedParts,
        ResponseTiming timing,
        long documentVersion,
        long registryVersion,
        String reason) {
    /** Outcome of a request whose response reached the caller in full. */
    public static final String ANSWERED = "answered";

    /** Outcome of a request whose response was truncated after it had started. */
    public static final String TRUNCATED = "cut";

    /** Whether the first attempt delivered the whole response on time. */
    public boolean isOnTimeAtFirstAttempt() {
        return outcome.equals(ANSWERED) && backEndIds.size() == 1 && !timing.isLate();
    }
}
