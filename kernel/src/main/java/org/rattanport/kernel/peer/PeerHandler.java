package org.rattanport.kernel.peer;

/**
 * Handles one type of message from peers and returns the response. The response to a one-way
 * message is discarded.
 */
@FunctionalInterface
public interface PeerHandler<T extends PeerMessage> {
    PeerMessage handle(T message);
}
