package org.rattanport.standins;

/** How the table service misbehaves. */
public enum TableFault {
    /** It works. */
    NONE,
    /** It answers every call with an error and does nothing. */
    DOWN,
    /** Writes take effect, and the answer is an error. */
    LOST_ANSWER,
    /** The answer is an error, and the write takes effect some time later. */
    LATE_WRITE,
    /** Reads return a state of some time ago. */
    STALE_READ,
    /** Every call takes long. */
    SLOW
}
