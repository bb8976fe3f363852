package org.rattanport.kernel.peer;

import org.rattanport.kernel.time.Deadline;

/** Carries questions between instances over authenticated connections. */
public interface PeerNetwork {
    /**
     * Asks the instance at the address and waits for its answer.
     *
     * @throws org.rattanport.kernel.error.RattanportException with code {@code PEER_UNREACHABLE}
     */
    PeerMessage ask(String peerAddress, PeerMessage question, Deadline deadline);

    /** Registers the handler of one type of question. */
    <T extends PeerMessage> void handle(Class<T> type, PeerHandler<T> handler);
}
