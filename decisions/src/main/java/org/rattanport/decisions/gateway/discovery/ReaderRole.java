package org.rattanport.decisions.gateway.discovery;

import java.time.Duration;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.LogLine;

/** Whether this instance reads the store now, and at which rate it may try again. */
public final class ReaderRole {
    private static final Logger LOGGER = Logger.getLogger(ReaderRole.class);

    /** Delay after a failed read; well below the time in which changes must become active. */
    private static final Duration READER_RETRY_DELAY = Duration.ofMillis(400);

    /** Delay of an instance that only stands in for the readers. */
    private static final Duration STAND_IN_RETRY_DELAY = Duration.ofMillis(1_600);

    /** Why an instance reads the store, or that it does not. */
    enum Role {
        /** Other instances read the store for this one. */
        FOLLOWER,
        /** This instance reads the store for its data centre. */
        READER,
        /** No reader responds, or the store responds to none of them. */
        STAND_IN
    }

    private Role mRole = Role.FOLLOWER;
    private boolean mIsClosed;

    synchronized void set(Role role) {
        if (mRole == role) {
            return;
        }
        LOGGER.info(LogLine.of("store-reader-role").with("role", role).with("previous", mRole));
        mRole = role;
        notifyAll();
    }

    synchronized Role current() {
        return mRole;
    }

    boolean isReading() {
        return current() != Role.FOLLOWER;
    }

    synchronized boolean isClosed() {
        return mIsClosed;
    }

    synchronized void close() {
        mIsClosed = true;
        notifyAll();
    }

    /** Delay after a failed read, before its random extension. */
    Duration retryDelay() {
        return current() == Role.STAND_IN ? STAND_IN_RETRY_DELAY : READER_RETRY_DELAY;
    }

    /** Waits until this instance reads the store or the role is closed. */
    synchronized void awaitReading() {
        try {
            while (mRole == Role.FOLLOWER && !mIsClosed) {
                wait();
            }
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        }
    }
}
