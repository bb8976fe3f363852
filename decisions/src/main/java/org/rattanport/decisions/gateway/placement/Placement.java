package org.rattanport.decisions.gateway.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import java.util.stream.Stream;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.EngineShare;
import org.rattanport.kernel.gateway.EngineWork;

/**
 * The back end and engines that process a request.
 *
 * @param backEnd the back end that responds; for a prompt, the decode engine
 * @param prefillEngines other engines that prefill parts of the prompt
 * @param reservations memory that the prefill engines lease for their parts; empty if none is
 *     needed
 * @param work the share of each engine; empty for plain services
 * @param cost predicted cost in units of the weight of the work
 * @param postponement time after which the request is to be placed again, because it would be late
 *     and others would be late for it; empty if it is sent now
 */
public record Placement(
        BackEnd backEnd,
        List<BackEnd> prefillEngines,
        List<Reservation> reservations,
        Optional<EngineWork> work,
        double cost,
        Optional<Duration> postponement) {
    /** Creates the placement of a request that is sent now. */
    public Placement(
            BackEnd backEnd,
            List<BackEnd> prefillEngines,
            List<Reservation> reservations,
            Optional<EngineWork> work,
            double cost) {
        this(backEnd, prefillEngines, reservations, work, cost, Optional.empty());
    }

    /**
     * Returns the placement of the work; empty if one of its engines is unknown.
     *
     * @param find returns the engine with an id
     */
    static Optional<Placement> of(
            EngineWork work, double cost, Function<String, Optional<BackEnd>> find) {
        List<BackEnd> prefillEngines = new ArrayList<>();
        List<Reservation> reservations = new ArrayList<>();
        Optional<BackEnd> decodeEngine = Optional.empty();
        // Each attempt has new lease ids, as engines may still be ending an earlier attempt.
        String leasePrefix =
                work.attemptId()
                        + "-"
                        + Long.toString(
                                ThreadLocalRandom.current().nextLong() >>> 1, Character.MAX_RADIX);
        for (EngineShare share : work.shares()) {
            Optional<BackEnd> engine = find.apply(share.engineId());
            if (engine.isEmpty()) {
                return Optional.empty();
            }
            if (share.isDecodeEngine()) {
                decodeEngine = engine;
                continue;
            }
            prefillEngines.add(engine.get());
            if (share.memoryTokens() > 0) {
                String id = leasePrefix + "-" + reservations.size();
                reservations.add(new Reservation(engine.get(), id, share.memoryTokens()));
            }
        }
        return decodeEngine.map(
                each -> new Placement(each, prefillEngines, reservations, Optional.of(work), cost));
    }

    /** Returns the same placement for a later time. */
    Placement postponed(Duration delay) {
        return new Placement(backEnd, prefillEngines, reservations, work, cost, Optional.of(delay));
    }

    /** The lease id of a prefill engine, if it leases memory. */
    public Optional<String> leaseId(BackEnd prefillEngine) {
        return reservations.stream()
                .filter(each -> each.engine().equals(prefillEngine))
                .map(Reservation::id)
                .findFirst();
    }

    /** Whether engines admit the request after others. */
    public boolean isDeferred() {
        return work.filter(EngineWork::isDeferred).isPresent();
    }

    /** All back ends of this placement. */
    public Stream<BackEnd> engines() {
        return Stream.concat(Stream.of(backEnd), prefillEngines.stream());
    }

    /** The back end of this placement with the address. */
    public Optional<BackEnd> findByAddress(String address) {
        return engines().filter(each -> each.address().equals(address)).findFirst();
    }
}
