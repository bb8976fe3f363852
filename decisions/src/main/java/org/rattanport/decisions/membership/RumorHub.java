package org.rattanport.decisions.membership;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.rattanport.kernel.peer.Rumor;

/** Passes rumors that are not about members to those who registered for them. */
public final class RumorHub {
    private final RumorQueue mQueue;
    private final List<Consumer<Rumor>> mListeners = new CopyOnWriteArrayList<>();

    public RumorHub(RumorQueue queue) {
        mQueue = queue;
    }

    /** Spreads a rumor of this instance, or one that was news here. */
    public void spread(Rumor rumor) {
        mQueue.add(rumor);
    }

    /** Registers a listener for rumors of peers; it spreads them again when they are news. */
    public void listen(Consumer<Rumor> listener) {
        mListeners.add(listener);
    }

    public void heard(Rumor rumor) {
        mListeners.forEach(listener -> listener.accept(rumor));
    }
}
