package org.rattanport.kernel.gateway;

import java.util.List;
import org.rattanport.kernel.time.Deadline;

/** Where instances leave their addresses for those that find no other instance. */
public interface MemberDirectory {
    /** Leaves the address of an instance, replacing an older one of the same name. */
    void enter(String name, String peerAddress, Deadline deadline);

    /** Addresses that were left; instances there may be gone. */
    List<String> peerAddresses(Deadline deadline);
}
