package org.rattanport.decisions.gateway;

import org.rattanport.kernel.gateway.Work;

/** Takes what this instance does at engines, for itself and for the other instances. */
public interface WorkNotifier {
    /** A request was placed. */
    void placed(Work work);

    /** The request has its first event. */
    void decodeStarted(String id);

    /** The request has left its engines. */
    void ended(String id);
}
