package org.rattanport.decisions.gateway.discovery;

import java.time.Duration;
import java.util.Optional;
import org.rattanport.kernel.gateway.BackEnd;

/** Knows of a reason to keep requests away from back ends. */
public interface RequestGate {
    /** Whether the back end may get a request now, as far as this instance knows by itself. */
    boolean accepts(BackEnd backEnd);

    /** Names the reason for which this gate keeps requests away, for operators. */
    default String reason() {
        return getClass().getSimpleName();
    }

    /** Returns the time until a back end that accepts no request may accept one, if it is known. */
    Optional<Duration> waitTime(BackEnd backEnd);

    /** Records that the registry lists the back end. */
    void recordRegistered(BackEnd backEnd);
}
