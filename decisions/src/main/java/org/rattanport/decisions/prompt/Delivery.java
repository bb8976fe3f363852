package org.rattanport.decisions.prompt;

import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.request.AnswerChunk;
import org.rattanport.kernel.request.AnswerSink;
import org.rattanport.kernel.target.Continuation;

/** Delivers an answer to its caller across several attempts: each output token once, in order. */
final class Delivery {
    private final AnswerSink mSink;
    private final StringBuilder mText = new StringBuilder();
    private final int mResumePosition;
    private int mPosition;
    private boolean mIsComplete;

    Delivery(AnswerSink sink, int receivedTokens) {
        mSink = sink;
        mResumePosition = receivedTokens;
        mPosition = receivedTokens;
    }

    /**
     * Where the next attempt continues. The text is empty for a resumed request, because this
     * instance has not seen the tokens before the resume position.
     */
    Continuation continuation() {
        return new Continuation(mPosition, mResumePosition == 0 ? mText.toString() : "", false);
    }

    int position() {
        return mPosition;
    }

    boolean isComplete() {
        return mIsComplete;
    }

    void attemptStarted(TargetId target, int attempt) {
        mSink.onAttemptStarted(target, attempt);
    }

    /** Delivers a chunk of the running attempt; skips chunks that the caller already has. */
    void accept(AnswerChunk chunk) {
        if (chunk.endPosition() <= mPosition && !chunk.isLast()) {
            return;
        }
        if (chunk.position() != mPosition) {
            throw RattanportException.builder(
                            ErrorCode.ANSWER_CUT,
                            "the engine continued at token "
                                    + chunk.position()
                                    + "; expected token "
                                    + mPosition)
                    .verdict(Verdict.MAY_HAVE_RUN)
                    .build();
        }
        mSink.accept(chunk);
        mPosition = chunk.endPosition();
        mText.append(chunk.text());
        mIsComplete = chunk.isLast();
    }
}
