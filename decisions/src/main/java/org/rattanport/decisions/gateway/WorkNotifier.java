package org.rattanport.decisions.gateway;

import org.rattanport.kernel.gateway.EngineWork;

/** Receives the progress of this instance's requests at engines, to record it and notify peers. */
public interface WorkNotifier {
    /** The request was placed on its engines. */
    void placed(EngineWork work);

    /** The first event of the request arrived. */
    void decodeStarted(String attemptId);

    /** The request ended at its engines. */
    void ended(String attemptId);
}
