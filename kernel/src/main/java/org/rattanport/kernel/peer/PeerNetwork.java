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

    /**
     * Tells the instance at the address without waiting for an answer. What is told one after the
     * other arrives in that order, or not at all.
     *
     * @throws org.rattanport.kernel.error.RattanportException with code {@code PEER_UNREACHABLE}
     */
    void tell(String peerAddress, PeerMessage message, Deadline connectDeadline);

    /** Registers the handler of one type of question. */
    <T extends PeerMessage> void handle(Class<T> type, PeerHandler<T> handler);
}
