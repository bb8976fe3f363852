package org.rattanport.decisions.gateway;

import java.util.Arrays;

/** Bytes that are gathered one after the other. */
final class GrowingBytes {
    private static final int FIRST_CAPACITY = 256;

    private byte[] mBytes = new byte[FIRST_CAPACITY];
    private int mSize;

    int size() {
        return mSize;
    }

    void add(byte each) {
        reserve(1);
        mBytes[mSize] = each;
        mSize++;
    }

    void addAll(byte[] bytes) {
        reserve(bytes.length);
        System.arraycopy(bytes, 0, mBytes, mSize, bytes.length);
        mSize += bytes.length;
    }

    /** Whether the bytes end with these. */
    boolean endsWith(byte... end) {
        return mSize >= end.length
                && Arrays.equals(mBytes, mSize - end.length, mSize, end, 0, end.length);
    }

    byte[] toArray() {
        return Arrays.copyOf(mBytes, mSize);
    }

    /** Returns all bytes and begins anew. */
    byte[] takeAll() {
        byte[] all = toArray();
        mSize = 0;
        return all;
    }

    private void reserve(int more) {
        if (mSize + more > mBytes.length) {
            mBytes = Arrays.copyOf(mBytes, Math.max(mSize + more, 2 * mBytes.length));
        }
    }
}
