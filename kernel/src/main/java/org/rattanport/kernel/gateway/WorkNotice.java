package org.rattanport.kernel.gateway;

/**
 * What an instance tells the others of a request at engines, so that all place with one picture.
 */
public sealed interface WorkNotice {
    /** Id of the attempt. */
    String id();

    /** The request was placed. */
    record Placed(Work work) implements WorkNotice {
        @Override
        public String id() {
            return work.id();
        }
    }

    /** The request has its first event. */
    record Writes(String id) implements WorkNotice {}

    /** The request has left its engines. */
    record Ended(String id) implements WorkNotice {}
}
