package org.rattanport.kernel.peer;

/** State of an entry instance as its peers see it; of equal numbers the later state wins. */
public enum MemberState {
    ALIVE,
    LEAVING,
    SUSPECT,
    DEAD
}
