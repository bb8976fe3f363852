package org.rattanport.decisions.gateway;

import java.nio.charset.StandardCharsets;
import java.util.OptionalInt;
import org.rattanport.kernel.gateway.CallerExchange;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.gateway.ResponseWriter;
import org.rattanport.kernel.task.Cancellation;

/** A caller that records what it gets. */
final class FakeCaller implements CallerExchange {
    final Cancellation mDisconnect = new Cancellation();
    final Cancellation mCut = new Cancellation();
    int mStatus;
    int mStartCount;
    final StringBuilder mBody = new StringBuilder();
    boolean mIsFinished;
    boolean mIsAborted;

    /** What happens while the caller takes a chunk. */
    Runnable mOnWrite = () -> {};

    @Override
    public Cancellation disconnectSignal() {
        return mDisconnect;
    }

    @Override
    public Cancellation cutSignal() {
        return mCut;
    }

    @Override
    public ResponseWriter startResponse(ResponseHead head, OptionalInt length) {
        mStatus = head.status();
        mStartCount++;
        return new RecordingWriter();
    }

    private final class RecordingWriter implements ResponseWriter {
        @Override
        public void write(byte[] chunk) {
            mOnWrite.run();
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
}
