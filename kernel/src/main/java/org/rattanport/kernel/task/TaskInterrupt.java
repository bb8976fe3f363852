package org.rattanport.kernel.task;

/**
 * Interrupts the task that creates it while a piece of its work lasts, so that the work ends
 * whatever it waits for. No interrupt outlives the work.
 */
public final class TaskInterrupt implements AutoCloseable {
    private final Thread mTask = Thread.currentThread();
    private boolean mIsDone;

    /** Ends the wait of the task, or its next one; called by other tasks. */
    public synchronized void interrupt() {
        if (!mIsDone) {
            mTask.interrupt();
        }
    }

    /** Ends the piece of work; called by the task itself. */
    @Override
    public synchronized void close() {
        mIsDone = true;
        Thread.interrupted();
    }
}
