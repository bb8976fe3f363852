package org.rattanport.kernel.model;

/**
 * A target in the platform's instance list: a model engine or a plain service.
 *
 * @param id name and incarnation
 * @param kind engine or plain service
 * @param pool name of the model or service that it serves
 * @param address IP and port
 * @param dataCentre data centre of the target
 * @param isDraining whether it is draining: it must receive no new work
 */
public record Target(
        TargetId id,
        TargetKind kind,
        String pool,
        String address,
        String dataCentre,
        boolean isDraining) {
    public Target asDraining() {
        return new Target(id, kind, pool, address, dataCentre, true);
    }
}
