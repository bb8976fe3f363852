package org.rattanport.decisions.gateway;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.EngineWork;

/**
 * The back end and engines that process a request.
 *
 * @param backEnd the back end that responds; for a prompt, the decode engine
 * @param prefillEngines other engines that prefill parts of the prompt
 * @param reservations memory that the prefill engines lease for their parts; empty if none is
 *     needed
 * @param work the share of each engine; empty for plain services
 */
public record Placement(
        BackEnd backEnd,
        List<BackEnd> prefillEngines,
        List<Reservation> reservations,
        Optional<EngineWork> work) {
    /** The lease id of a prefill engine, if it leases memory. */
    public Optional<String> leaseId(BackEnd prefillEngine) {
        return reservations.stream()
                .filter(each -> each.engine().equals(prefillEngine))
                .map(Reservation::id)
                .findFirst();
    }

    /** The back end of this placement with the address. */
    public Optional<BackEnd> findByAddress(String address) {
        return Stream.concat(Stream.of(backEnd), prefillEngines.stream())
                .filter(each -> each.address().equals(address))
                .findFirst();
    }
}
