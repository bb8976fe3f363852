package org.rattanport.kernel.task;

import java.util.ArrayList;
import java.util.List;

/**
 * Cancels a request from another task: runs the registered actions once. An action that is
 * registered after the cancellation runs immediately.
 */
public final class Cancellation {
    private final List<Runnable> mActions = new ArrayList<>();
    private boolean mCancelled;

    /** Cancels and runs the registered actions; further calls have no effect. */
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

    /** Registers an action to run on cancellation. Closing the result removes the action. */
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
