package org.rattanport.kernel.gateway;

/**
 * A work update that an instance sends to its peers about a request at engines, so that the load
 * estimates of all instances agree.
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
}
