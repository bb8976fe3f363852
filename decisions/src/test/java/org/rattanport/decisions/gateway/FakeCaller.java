package org.rattanport.decisions.gateway;

import java.nio.charset.StandardCharsets;
import java.util.OptionalInt;
import org.rattanport.kernel.gateway.CallerExchange;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.task.Cancellation;

/** A caller that records what it gets. */
final class FakeCaller implements CallerExchange {
    final Cancellation mDisconnect = new Cancellation();
    final Cancellation mCut = new Cancellation();
    int mStatus;
    final StringBuilder mBody = new StringBuilder();
    boolean mIsFinished;
    boolean mIsAborted;

    @Override
    public Cancellation disconnectSignal() {
        return mDisconnect;
    }

    @Override
    public Cancellation cutSignal() {
        return mCut;
    }

    @Override
    public void startResponse(ResponseHead head, OptionalInt length) {
        mStatus = head.status();
    }

    @Override
    public void write(byte[] chunk) {
        mBody.append(new String(chunk, StandardCharsets.UTF_8));
    }

    @Override
    public void finish() {
        mIsFinished = true;
    }

    @Override
    public void abort() {
        mIsAborted = true;
    }
}
