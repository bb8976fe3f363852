package org.rattanport.decisions.gateway.relay;

import java.util.Arrays;

/** A growing byte buffer. */
final class ByteAccumulator {
    private static final int INITIAL_CAPACITY = 256;

    private byte[] mBytes = new byte[INITIAL_CAPACITY];
    private int mSize;

    int size() {
        return mSize;
    }

    void add(byte value) {
        ensureCapacity(1);
        mBytes[mSize] = value;
        mSize++;
    }

    void addAll(byte[] bytes) {
        ensureCapacity(bytes.length);
        System.arraycopy(bytes, 0, mBytes, mSize, bytes.length);
        mSize += bytes.length;
    }

    /** Whether the content ends with the suffix. */
    boolean endsWith(byte... suffix) {
        return mSize >= suffix.length
                && Arrays.equals(mBytes, mSize - suffix.length, mSize, suffix, 0, suffix.length);
    }

    byte[] toArray() {
        return Arrays.copyOf(mBytes, mSize);
    }

    /** Returns the content and empties the buffer. */
    byte[] drain() {
        byte[] all = toArray();
        mSize = 0;
        return all;
    }

    private void ensureCapacity(int additional) {
        if (mSize + additional > mBytes.length) {
            mBytes = Arrays.copyOf(mBytes, Math.max(mSize + additional, 2 * mBytes.length));
        }
    }
}
