package org.rattanport.kernel.gateway;

import java.util.List;
import org.rattanport.kernel.error.Verdict;

/**
 * What became of one request.
 *
 * @param request caller's id of the attempt
 * @param outcome {@code answered}, {@code cut}, or the code of the error
 * @param verdict whether it may have run
 * @param route name of its route
 * @param service name of its service
 * @param account account that holds the caller's key, or a dash
 * @param backEnds ids of the back ends that it was sent to, in order
 * @param runs back ends that may have run it
 * @param status status of the last back end that answered, or 0
 * @param millis time from its arrival to its end
 * @param readers engines that read for the one that it was last sent to
 * @param timing when the caller had the answer
 * @param document version of the document that routed it
 * @param reason why the last attempt failed, or an empty text
 */
public record RequestOutcome(
        String request,
        String outcome,
        Verdict verdict,
        String route,
        String service,
        String account,
        List<String> backEnds,
        int runs,
        int status,
        long millis,
        int readers,
        AnswerTiming timing,
        long document,
        String reason) {
    /** Outcome of a request that a back end answered. */
    public static final String ANSWERED = "answered";

    /** Outcome of a request whose answer was ended in the middle. */
    public static final String CUT = "cut";

    /** Whether the first back end answered it whole and in time. */
    public boolean isUsual() {
        return outcome.equals(ANSWERED) && backEnds.size() == 1 && !timing.isLate();
    }
}
