package org.rattanport.standins;

/** Fault that a stand-in of a plain service injects into a share of its calls. */
public enum ServiceFault {
    NONE,
    /** The service executes the call and closes the connection before it responds. */
    RUN_THEN_CUT,
    /** The service executes the call and responds with a server error. */
    RUN_THEN_ERROR,
    /** The service refuses the call with a status that guarantees that it did not execute it. */
    REFUSE,
    /** The service executes the call and responds after a delay. */
    SLOW
}
