package org.rattanport.kernel.gateway;

/**
 * One running back end as it registered itself.
 *
 * @param id name of this start of the back end
 * @param born wall-clock millisecond of its start, or 0 where it does not tell
 * @param service service that it belongs to
 * @param address IP and port
 * @param zone data centre where it runs
 * @param slots requests that it processes at once
 * @param isLeaving whether it takes no new requests
 */
public record BackEnd(
        String id,
        long born,
        String service,
        String address,
        String zone,
        int slots,
        boolean isLeaving) {
    /** Whether both entries speak of one start of a back end. */
    public boolean isSameStart(BackEnd other) {
        return id.equals(other.id) && born == other.born;
    }
}
