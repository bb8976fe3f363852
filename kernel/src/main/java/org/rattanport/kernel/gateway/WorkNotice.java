package org.rattanport.kernel.gateway;

/**
 * A work update that an instance sends to its peers about a request at engines, so that the load
 * estimates of all instances agree.
 */
public sealed interface WorkNotice {
    /** Attempt id of the request. */
    String id();

    /** The request was placed on its engines. */
    record Placed(Work work) implements WorkNotice {
        @Override
        public String id() {
            return work.id();
        }
    }

    /** The first event of the request arrived; its decode engine generates the answer. */
    record Writes(String id) implements WorkNotice {}

    /** The request no longer runs on any engine. */
    record Ended(String id) implements WorkNotice {}
}
