package org.rattanport.kernel.platform;

import java.util.List;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.time.Deadline;

/** The platform's list of live and leaving instances; it lags behind reality. */
public interface InstanceList {
    /** Targets and entry instances as last known to the platform. */
    record Listing(List<Target> targets, List<ListedInstance> instances) {}

    /** An entry instance: its name, its two addresses and whether the platform will stop it. */
    record ListedInstance(
            String name,
            String callerAddress,
            String peerAddress,
            String dataCentre,
            boolean isLeaving) {}

    Listing read(Deadline deadline);
}
