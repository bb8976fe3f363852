package org.rattanport.kernel.peer;

/**
 * State of an entry instance as its peers see it. Of two entries with equal state numbers, the
 * state that is declared later here wins.
 */
public enum MemberState {
    ALIVE,
    LEAVING,
    SUSPECT,
    DEAD
}
