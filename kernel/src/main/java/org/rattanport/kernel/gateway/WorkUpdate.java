package org.rattanport.kernel.gateway;

/**
 * A work update that an instance sends about its request to the instance that coordinates the
 * placements at the engines.
 */
public sealed interface WorkUpdate {
    /** Attempt id of the request. */
    String attemptId();

    /** The request was placed on its engines. */
    record Placed(EngineWork work) implements WorkUpdate {
        @Override
        public String attemptId() {
            return work.attemptId();
        }
    }

    /** The first event of the request arrived; its decode engine generates the answer. */
    record Decoding(String attemptId) implements WorkUpdate {}

    /** The request no longer runs on any engine. */
    record Ended(String attemptId) implements WorkUpdate {}

    /**
     * An engine failed the request.
     *
     * @param attemptId attempt id of the request
     * @param engineId id of the engine
     * @param weight weight of the failure in the health of the engine
     */
    record EngineFailed(String attemptId, String engineId, double weight) implements WorkUpdate {}

    /**
     * An engine was slower than its declared figures predict, or is no longer.
     *
     * @param attemptId attempt id of the request whose events show it
     * @param engineId id of the engine
     * @param factor duration of passes compared with the prediction; 1 if the engine is as fast as
     *     predicted
     */
    record EngineSlow(String attemptId, String engineId, double factor) implements WorkUpdate {}
}
