package org.rattanport.kernel.gateway;

/**
 * Registry entry of one running back end.
 *
 * @param id id of the back end
 * @param born wall-clock time of its start in milliseconds, or 0 if the entry has none
 * @param service name of its service
 * @param address IP and port
 * @param zone data centre where it runs
 * @param slots number of requests that it processes concurrently
 * @param isLeaving whether it is draining: it accepts no new requests
 */
public record BackEnd(
        String id,
        long born,
        String service,
        String address,
        String zone,
        int slots,
        boolean isLeaving) {
    /** Whether both entries describe the same run of a back end, with no restart in between. */
    public boolean isSameStart(BackEnd other) {
        return id.equals(other.id) && born == other.born;
    }
}
