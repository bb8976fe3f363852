package org.rattanport.kernel.gateway;

import java.time.Duration;

/**
 * Registry entry of one running back end.
 *
 * @param id id of the back end
 * @param startWallMillis wall-clock time of its start in milliseconds, or 0 if the entry has none
 * @param service name of its service
 * @param address IP and port
 * @param dataCentre data centre where it runs
 * @param slots number of requests that it processes concurrently
 * @param isDraining whether it is draining: it accepts no new requests
 * @param coldLeft time for which it stays cold, as of the arrival of the entry
 */
public record BackEnd(
        String id,
        long startWallMillis,
        String service,
        String address,
        String dataCentre,
        int slots,
        boolean isDraining,
        Duration coldLeft) {
    /** Creates the entry of a back end that is not cold. */
    public BackEnd(
            String id,
            long startWallMillis,
            String service,
            String address,
            String dataCentre,
            int slots,
            boolean isDraining) {
        this(id, startWallMillis, service, address, dataCentre, slots, isDraining, Duration.ZERO);
    }

    /** Returns the entry of this run while it drains. */
    public BackEnd draining() {
        return new BackEnd(
                id, startWallMillis, service, address, dataCentre, slots, true, coldLeft);
    }

    /** Returns the entry with another time for which the back end stays cold. */
    public BackEnd withColdLeft(Duration left) {
        return new BackEnd(
                id, startWallMillis, service, address, dataCentre, slots, isDraining, left);
    }

    /** Whether the entry says when the run started; without that, runs look alike. */
    public boolean hasKnownStart() {
        return startWallMillis > 0;
    }

    /** Whether both entries describe the same run of a back end, with no restart in between. */
    public boolean isSameRun(BackEnd other) {
        return id.equals(other.id) && startWallMillis == other.startWallMillis;
    }
}
