package org.rattanport.kernel.gateway;

import java.util.List;
import org.rattanport.kernel.time.Deadline;

/**
 * Directory of the peer addresses of instances. An instance that has found no other instance joins
 * the cluster through one of them.
 */
public interface MemberDirectory {
    /** Stores the peer address of an instance and replaces an earlier address of that name. */
    void register(String name, String peerAddress, Deadline deadline);

    /** Number that rises when registrations may have been lost. */
    long era();

    /** Returns the stored addresses; some of the instances may have stopped. */
    List<String> peerAddresses(Deadline deadline);
}
