package org.rattanport.connectors.http;

import io.netty.channel.Channel;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A listener and the connections that it has accepted. */
public final class HttpIntake {
    private final Channel mListener;
    private final Connections mConnections;

    HttpIntake(Channel listener, Connections connections) {
        mListener = listener;
        mConnections = connections;
    }

    public Channel listener() {
        return mListener;
    }

    /**
     * Closes the listener, takes no more requests from the connections, and waits until those that
     * had begun to arrive are served. Connections without a request end in order. Returns false
     * when that takes longer than the timeout; a later call goes on waiting.
     */
    public boolean close(Duration timeout) {
        if (mListener.eventLoop().isShuttingDown()) {
            return true;
        }
        long start = System.nanoTime();
        mListener.close();
        // The event loop first reads what has arrived, because it runs a delayed task only after
        // another look at its sockets.
        if (!mListener
                .eventLoop()
                .schedule(mConnections::endRequests, 1, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(timeout.toNanos(), TimeUnit.NANOSECONDS)) {
            return false;
        }
        return mConnections.awaitServed(timeout.minusNanos(System.nanoTime() - start));
    }

    /** The connections whose task has not ended. */
    static final class Connections {
        private final Set<HttpChannel> mOpen = ConcurrentHashMap.newKeySet();
        private boolean mHaveRequestsEnded;

        /** Adds a connection, also before its task runs. Runs in the event loop. */
        void add(HttpChannel connection) {
            mOpen.add(connection);
            if (mHaveRequestsEnded) {
                connection.endRequests();
            }
        }

        void serve(HttpChannel connection, Consumer<HttpChannel> task) {
            try {
                task.accept(connection);
            } finally {
                connection.markServed();
                connection.releaseReceived();
                mOpen.remove(connection);
            }
        }

        private void endRequests() {
            mHaveRequestsEnded = true;
            mOpen.forEach(HttpChannel::endRequests);
        }

        private boolean awaitServed(Duration timeout) {
            long start = System.nanoTime();
            return mOpen.stream()
                    .allMatch(
                            each ->
                                    each.awaitServed(
                                            timeout.minusNanos(System.nanoTime() - start)));
        }
    }
}
