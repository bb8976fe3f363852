package org.rattanport.kernel.peer;

/** Handles one type of request from peers. */
@FunctionalInterface
public interface PeerHandler<T extends PeerMessage> {
    PeerMessage handle(T request);
}
