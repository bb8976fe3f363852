package org.rattanport.kernel.peer;

import io.reactivex.rxjava3.core.Flowable;
import org.rattanport.kernel.time.Deadline;

/** Sends messages between instances over authenticated connections. */
public interface PeerNetwork {
    /**
     * Sends a request to the instance at the address and waits for its response.
     *
     * @throws org.rattanport.kernel.error.RattanportException with code {@code PEER_UNREACHABLE}
     */
    PeerMessage call(String peerAddress, PeerMessage request, Deadline deadline);

    /**
     * Sends a message to the instance at the address without waiting for a response. Messages that
     * are sent one after the other arrive in that order, or not at all.
     *
     * @throws org.rattanport.kernel.error.RattanportException with code {@code PEER_UNREACHABLE}
     */
    void send(String peerAddress, PeerMessage message, Deadline connectDeadline);

    /** Addresses of the instances to which a connection broke. */
    default Flowable<String> lostPeers() {
        return Flowable.never();
    }

    /** Registers the handler of one type of message. */
    <T extends PeerMessage> void registerHandler(Class<T> type, PeerHandler<T> handler);
}
