package org.rattanport.kernel.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * One sending of a caller's request to a back end.
 *
 * @param request what the caller asked
 * @param backEnd where it goes
 * @param timeLeft time that the back end may take
 * @param account account that holds the caller's key
 * @param urgency 0 for the most urgent to 9
 * @param readers engines that read parts of the prompt besides the back end itself
 * @param lastEventId last event that the caller has
 */
public record Attempt(
        CallerRequest request,
        BackEnd backEnd,
        Duration timeLeft,
        Optional<String> account,
        int urgency,
        List<Reader> readers,
        Optional<String> lastEventId) {

    /**
     * An engine that reads a part of a prompt.
     *
     * @param address IP and port of the engine
     * @param reservation memory there that holds the part; without one the part moves to the engine
     *     that writes
     */
    public record Reader(String address, Optional<String> reservation) {}
}
