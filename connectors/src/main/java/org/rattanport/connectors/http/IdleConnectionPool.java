package org.rattanport.connectors.http;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.rattanport.kernel.time.TimeSource;

/** Idle connections by address; the most recently used one is reused first. */
final class IdleConnectionPool {
    /** Shorter than the idle timeout of this project's servers, which close idle connections. */
    private static final Duration MAX_IDLE = Duration.ofSeconds(30);

    private static final int MAX_PER_ADDRESS = 256;

    private record IdleConnection(HttpChannel channel, long sinceNanos) {}

    private final TimeSource mTime;
    private final Map<String, Deque<IdleConnection>> mByAddress = new HashMap<>();
    private boolean mIsClosed;

    IdleConnectionPool(TimeSource time) {
        mTime = time;
    }

    /** Removes and returns a connection on which nothing arrived since its last response. */
    synchronized Optional<HttpChannel> acquire(String address) {
        Deque<IdleConnection> idle = mByAddress.get(address);
        while (idle != null && !idle.isEmpty()) {
            IdleConnection newest = idle.removeLast();
            long age = mTime.nanoTime() - newest.sinceNanos();
            if (age < MAX_IDLE.toNanos() && newest.channel().isReusable()) {
                return Optional.of(newest.channel());
            }
            newest.channel().close();
        }
        mByAddress.remove(address);
        return Optional.empty();
    }

    synchronized void release(String address, HttpChannel channel) {
        Deque<IdleConnection> idle = mByAddress.computeIfAbsent(address, key -> new ArrayDeque<>());
        if (mIsClosed || idle.size() >= MAX_PER_ADDRESS) {
            channel.close();
            return;
        }
        idle.addLast(new IdleConnection(channel, mTime.nanoTime()));
    }

    synchronized void close() {
        mIsClosed = true;
        mByAddress
                .values()
                .forEach(each -> each.forEach(connection -> connection.channel().close()));
        mByAddress.clear();
    }
}
