package org.rattanport.kernel.gateway;

import java.util.List;

/**
 * A request in flight at one or several engines.
 *
 * @param attemptId attempt id
 * @param shares the part of the request on each engine
 * @param predictedFirstEventMillis predicted time to the first event
 * @param predictedDecodeMillis predicted decode time after the first event
 * @param maxEventGapMillis maximum gap between two events that is on time
 * @param weight cost of a late answer, relative to that of a short prompt
 * @param isDeferred whether engines admit the request after others, because it is late already
 */
public record EngineWork(
        String attemptId,
        List<EngineShare> shares,
        double predictedFirstEventMillis,
        double predictedDecodeMillis,
        double maxEventGapMillis,
        double weight,
        boolean isDeferred) {
    /** Creates the work of a request that is not deferred. */
    public EngineWork(
            String attemptId,
            List<EngineShare> shares,
            double predictedFirstEventMillis,
            double predictedDecodeMillis,
            double maxEventGapMillis,
            double weight) {
        this(
                attemptId,
                shares,
                predictedFirstEventMillis,
                predictedDecodeMillis,
                maxEventGapMillis,
                weight,
                false);
    }

    /** Returns this work with another predicted time to the first event. */
    public EngineWork withPredictedFirstEvent(double millis) {
        return new EngineWork(
                attemptId,
                shares,
                millis,
                predictedDecodeMillis,
                maxEventGapMillis,
                weight,
                isDeferred);
    }
}
