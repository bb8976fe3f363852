package org.rattanport.kernel.request;

import org.rattanport.kernel.model.TargetId;

/** Takes an answer on its way to the caller. A call may block while the caller does not read. */
public interface AnswerSink {
    /** Told before the first chunk of each attempt, so that a front end can issue a ticket. */
    void attemptStarted(TargetId target, int attempt);

    /** Takes the next chunk; each output token is delivered once and in order. */
    void accept(AnswerChunk chunk);
}
