package org.rattanport.decisions.gateway;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.Work;

/**
 * Where a request goes.
 *
 * @param backEnd the back end that answers
 * @param prefillEngines engines that read parts of the prompt besides it
 * @param reservations memory that the readers lease for their parts; empty where none is needed
 * @param work what each engine does; empty at plain services
 */
public record Placement(
        BackEnd backEnd,
        List<BackEnd> prefillEngines,
        List<Reservation> reservations,
        Optional<Work> work) {
    /** The lease id of a reader's part, where it has one. */
    public Optional<String> leaseId(BackEnd prefillEngine) {
        return reservations.stream()
                .filter(each -> each.engine().equals(prefillEngine))
                .map(Reservation::id)
                .findFirst();
    }

    /** The back end of this placement that has the address. */
    public Optional<BackEnd> findByAddress(String address) {
        return Stream.concat(Stream.of(backEnd), prefillEngines.stream())
                .filter(each -> each.address().equals(address))
                .findFirst();
    }
}
