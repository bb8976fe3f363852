package org.rattanport.kernel.request;

import java.util.Optional;
import org.rattanport.kernel.model.TargetLoad;

/**
 * A chunk of a model's answer.
 *
 * @param position index of the first output token of the chunk in the whole answer
 * @param tokens number of output tokens in the chunk
 * @param text text of the chunk
 * @param isLast whether the chunk completes the answer
 * @param finishReason why the engine ended the answer; empty before the last chunk
 * @param load load report of the engine, if the chunk carries one
 */
public record AnswerChunk(
        int position,
        int tokens,
        String text,
        boolean isLast,
        String finishReason,
        Optional<TargetLoad> load) {
    /** Creates a chunk without a load report. */
    public AnswerChunk(int position, int tokens, String text, boolean isLast, String finishReason) {
        this(position, tokens, text, isLast, finishReason, Optional.empty());
    }

    public int endPosition() {
        return position + tokens;
    }
}
