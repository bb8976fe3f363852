package org.rattanport.connectors.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the bytes that connections have received and their tasks have not taken, because the
 * callers for whom they are read slowly. Each connection reads ahead up to a limit, so that a
 * server is not kept from sending; while all together hold too much, the limit is a small one, so
 * that slow readers cannot keep the others from reading.
 */
final class ReceiveMemory {
    /**
     * Limit of one connection. Servers cut a response that stays unread for some seconds, and most
     * responses are shorter.
     */
    static final int MAX_CONNECTION_BYTES = 262_144;

    /** Limit of one connection while the memory is scarce; one read takes up to 64 KB more. */
    static final int MIN_CONNECTION_BYTES = 16_384;

    /** Bytes of one connection. */
    final class Claim {
        private long mBytes;
        private boolean mIsClosed;

        private Claim() {}

        synchronized void add(long bytes) {
            if (!mIsClosed) {
                mBytes += bytes;
                mTakenBytes.addAndGet(bytes);
            }
        }

        /** Removes bytes that the task has taken. */
        synchronized void remove(long bytes) {
            if (!mIsClosed) {
                mBytes -= bytes;
                mTakenBytes.addAndGet(-bytes);
            }
        }

        /** Releases the bytes of a connection whose task takes no more. */
        synchronized void close() {
            remove(mBytes);
            mIsClosed = true;
        }

        synchronized boolean isFull() {
            return mBytes >= limit();
        }

        /** Whether so much was taken that reading may go on. */
        synchronized boolean isLow() {
            return mBytes <= limit() / 2;
        }
    }

    private final long mMaxBytes;
    private final AtomicLong mTakenBytes = new AtomicLong();

    ReceiveMemory(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Returns a claim of no bytes. */
    Claim open() {
        return new Claim();
    }

    long takenBytes() {
        return mTakenBytes.get();
    }

    private int limit() {
        return takenBytes() < mMaxBytes ? MAX_CONNECTION_BYTES : MIN_CONNECTION_BYTES;
    }
}
