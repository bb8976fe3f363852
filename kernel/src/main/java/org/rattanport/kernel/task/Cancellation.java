package org.rattanport.kernel.task;

import java.util.ArrayList;
import java.util.List;

/**
 * Lets another task end a request: runs the registered actions once, at once when already ended.
 */
public final class Cancellation {
    private final List<Runnable> mActions = new ArrayList<>();
    private boolean mCancelled;

    /** Cancels; safe to repeat. */
    public void cancel() {
        List<Runnable> actions;
        synchronized (this) {
            if (mCancelled) {
                return;
            }
            mCancelled = true;
            actions = List.copyOf(mActions);
        }
        actions.forEach(Runnable::run);
    }

    public synchronized boolean isCancelled() {
        return mCancelled;
    }

    /** Runs the action when cancelled. Closing the result takes the action away again. */
    public AutoCloseable onCancel(Runnable action) {
        synchronized (this) {
            if (!mCancelled) {
                mActions.add(action);
                return () -> remove(action);
            }
        }
        action.run();
        return () -> {};
    }

    private synchronized void remove(Runnable action) {
        mActions.remove(action);
    }
}
