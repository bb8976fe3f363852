package org.rattanport.standins;

/** Fault that the stand-in of the table service injects into a share of its calls. */
public enum TableFault {
    /** No fault. */
    NONE,
    /** Calls fail, and writes have no effect. */
    DOWN,
    /** Writes take effect, and the response is an error. */
    LOST_ANSWER,
    /** The response is an error, and the writes take effect some time later. */
    LATE_WRITE,
    /** Reads of single rows return an earlier state of the table. */
    STALE_READ,
    /** Calls succeed after a delay. */
    SLOW
}
