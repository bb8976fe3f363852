package org.rattanport.decisions.membership;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.rattanport.kernel.peer.Rumor;

/** Dispatches received rumors that do not concern members to the registered listeners. */
public final class RumorHub {
    private final RumorQueue mQueue;
    private final List<Consumer<Rumor>> mListeners = new CopyOnWriteArrayList<>();
    private volatile Runnable mPush = () -> {};

    public RumorHub(RumorQueue queue) {
        mQueue = queue;
    }

    /** Queues a rumor for dissemination, whether it originates here or was received first. */
    public void spread(Rumor rumor) {
        mQueue.add(rumor);
    }

    /** Queues a rumor that should not wait for the next probe. */
    public void spreadPromptly(Rumor rumor) {
        mQueue.add(rumor);
        mPush.run();
    }

    /** Sets what sends the queued rumors before the next probe. */
    public void setPush(Runnable push) {
        mPush = push;
    }

    /**
     * Registers a listener for rumors from peers. A listener that did not have the information yet
     * passes the rumor to {@link #spread}.
     */
    public void addListener(Consumer<Rumor> listener) {
        mListeners.add(listener);
    }

    public void receive(Rumor rumor) {
        mListeners.forEach(listener -> listener.accept(rumor));
    }
}
