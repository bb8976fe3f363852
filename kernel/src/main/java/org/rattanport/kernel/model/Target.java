package org.rattanport.kernel.model;

/**
 * One back end as the platform lists it.
 *
 * @param id name and incarnation
 * @param kind engine or plain service
 * @param pool name of the model or the service that it serves
 * @param address IP and port
 * @param dataCentre where it runs
 * @param isLeaving whether it must get no new work
 */
public record Target(
        TargetId id,
        TargetKind kind,
        String pool,
        String address,
        String dataCentre,
        boolean isLeaving) {
    public Target leaving() {
        return new Target(id, kind, pool, address, dataCentre, true);
    }
}
