package org.rattanport.connectors.caller;

import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.request.AnswerChunk;
import org.rattanport.kernel.request.AnswerSink;

/** Collects the chunks of an answer that the response holds as a whole. */
final class CollectingSink implements AnswerSink {
    private final StringBuilder mText = new StringBuilder();
    private int mTokens;
    private String mFinishReason = "";

    @Override
    public void onAttemptStarted(TargetId target, int attempt) {}

    @Override
    public void accept(AnswerChunk chunk) {
        mText.append(chunk.text());
        mTokens = chunk.endPosition();
        mFinishReason = chunk.finishReason();
    }

    String text() {
        return mText.toString();
    }

    int tokens() {
        return mTokens;
    }

    String finishReason() {
        return mFinishReason;
    }
}
