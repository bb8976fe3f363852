package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/**
 * Bounds the bytes that the bodies of all requests take together. A body that does not fit is
 * refused at once; large bodies leave a part to small ones, so that short requests get in beside
 * them.
 */
public final class BodyMemory {
    /** Largest body that may use the part which large ones leave. */
    private static final int SMALL_BODY_BYTES = 65_536;

    /** Part of the memory that large bodies may fill. */
    private static final double LARGE_SHARE = 0.75;

    /** Shortest and longest delay after which a refused caller may retry. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(500);

    private static final Duration MAX_RETRY_AFTER = Duration.ofMillis(1_500);

    /** Memory of one body; closing it releases the memory. */
    public final class Claim implements AutoCloseable {
        private long mBytes;

        private Claim() {}

        /**
         * Raises the claim to a size.
         *
         * @throws RattanportException {@code QUEUE_FULL} with verdict {@code NOT_RUN} when it does
         *     not fit
         */
        public void growTo(long bytes) {
            if (bytes > mBytes) {
                take(bytes - mBytes, bytes > SMALL_BODY_BYTES ? mMaxLargeBytes : mMaxBytes);
                mBytes = bytes;
            }
        }

        @Override
        public void close() {
            release(mBytes);
            mBytes = 0;
        }
    }

    private final long mMaxBytes;
    private final long mMaxLargeBytes;
    private long mTakenBytes;

    public BodyMemory(long maxBytes) {
        mMaxBytes = maxBytes;
        mMaxLargeBytes = Math.round(maxBytes * LARGE_SHARE);
    }

    /** Returns a claim of no bytes. */
    public Claim open() {
        return new Claim();
    }

    public synchronized long takenBytes() {
        return mTakenBytes;
    }

    private synchronized void take(long bytes, long limit) {
        if (mTakenBytes + bytes > limit) {
            throw RattanportException.builder(
                            ErrorCode.QUEUE_FULL,
                            "the bodies of other requests hold "
                                    + mTakenBytes
                                    + " bytes, and this one does not fit")
                    .retryAfter(retryAfter())
                    .build();
        }
        mTakenBytes += bytes;
    }

    private synchronized void release(long bytes) {
        mTakenBytes -= bytes;
    }

    private static Duration retryAfter() {
        return Duration.ofMillis(
                ThreadLocalRandom.current()
                        .nextLong(MIN_RETRY_AFTER.toMillis(), MAX_RETRY_AFTER.toMillis()));
    }
}
