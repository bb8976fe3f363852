package org.rattanport.kernel.task;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;

/**
 * Cancels a request from another task: runs the registered actions once. An action that is
 * registered after the cancellation runs immediately.
 */
public final class Cancellation {
    private final List<Runnable> mActions = new ArrayList<>();
    private boolean mIsCancelled;

    /** Cancels and runs the registered actions; further calls have no effect. */
    public void cancel() {
        cancel(Runnable::run);
    }

    /** Cancels at once, and runs the registered actions by the executor. */
    public void cancel(Executor executor) {
        List<Runnable> actions;
        synchronized (this) {
            if (mIsCancelled) {
                return;
            }
            mIsCancelled = true;
            actions = List.copyOf(mActions);
        }
        if (!actions.isEmpty()) {
            executor.execute(() -> actions.forEach(Runnable::run));
        }
    }

    public synchronized boolean isCancelled() {
        return mIsCancelled;
    }

    /** Registers an action to run on cancellation. Closing the result removes the action. */
    public AutoCloseable onCancel(Runnable action) {
        synchronized (this) {
            if (!mIsCancelled) {
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
