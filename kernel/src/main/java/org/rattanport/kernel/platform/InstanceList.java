package org.rattanport.kernel.platform;

import java.util.List;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.time.Deadline;

/** The platform's list of targets and entry instances. The list lags behind the actual state. */
public interface InstanceList {
    /** Targets and entry instances as of one read of the list. */
    record Listing(List<Target> targets, List<ListedInstance> instances) {}

    /** An entry instance in the list; it is leaving if the platform is about to stop it. */
    record ListedInstance(
            String name,
            String callerAddress,
            String peerAddress,
            String dataCentre,
            boolean isLeaving) {}

    Listing read(Deadline deadline);
}
