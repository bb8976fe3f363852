package org.rattanport.kernel.request;

import org.rattanport.kernel.model.TargetId;

/**
 * Receives an answer and sends it to the caller. Calls may block while the caller does not read.
 */
public interface AnswerSink {
    /**
     * Called before the first chunk of each attempt, so that a front end can issue a resume ticket.
     */
    void onAttemptStarted(TargetId target, int attempt);

    /** Accepts the next chunk. Each output token is delivered once and in order. */
    void accept(AnswerChunk chunk);
}
