package org.rattanport.kernel.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * One attempt to run a caller's request at a back end.
 *
 * @param request the caller's request
 * @param backEnd back end that receives the attempt
 * @param remainingTime remaining time for the back end to respond
 * @param account account that the caller's key belongs to
 * @param urgency urgency inside the back end, from 0 (most urgent) to 9
 * @param prefillEngines engines that prefill parts of the prompt besides the back end itself
 * @param lastEventId id of the last event that the caller received
 */
public record Attempt(
        CallerRequest request,
        BackEnd backEnd,
        Duration remainingTime,
        Optional<String> account,
        int urgency,
        List<PrefillEngine> prefillEngines,
        Optional<String> lastEventId) {

    /**
     * An engine that prefills a part of a prompt.
     *
     * @param address IP and port of the engine
     * @param reservation id of the memory lease at that engine for the part; without a lease the
     *     prefilled part moves to the decode engine
     */
    public record PrefillEngine(String address, Optional<String> leaseId) {}
}
