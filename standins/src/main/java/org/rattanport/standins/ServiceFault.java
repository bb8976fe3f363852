package org.rattanport.standins;

/** How a plain service misbehaves on a share of its calls. */
public enum ServiceFault {
    NONE,
    /** It does the work and breaks the connection before the answer. */
    RUN_THEN_CUT,
    /** It does the work and answers with a server error. */
    RUN_THEN_ERROR,
    /** It refuses with a status that guarantees that nothing ran. */
    REFUSE,
    /** It answers after a long time. */
    SLOW
}
