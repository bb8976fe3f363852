package org.rattanport.kernel.peer;

/** Answers one type of question of peers. */
@FunctionalInterface
public interface PeerHandler<T extends PeerMessage> {
    PeerMessage answer(T question);
}
