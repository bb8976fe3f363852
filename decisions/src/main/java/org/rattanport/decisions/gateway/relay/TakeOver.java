package org.rattanport.decisions.gateway.relay;

/** Whether another back end may take a request over from a silent one. */
public interface TakeOver {
    /** Whether that is possible now. */
    boolean isPossible();

    /** Reserves the retry that it takes, for this request alone; returns whether it has one. */
    boolean tryReserve();
}
