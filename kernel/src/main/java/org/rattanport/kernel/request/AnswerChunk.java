package org.rattanport.kernel.request;

import java.util.Optional;
import org.rattanport.kernel.model.TargetLoad;

/**
 * A piece of an answer.
 *
 * @param position index of its first output token in the whole answer
 * @param tokens number of output tokens in it
 * @param text the text
 * @param isLast whether the answer is complete with it
 * @param finishReason reason of the end, or empty before the last chunk
 * @param load load of the engine, when it came along
 */
public record AnswerChunk(
        int position,
        int tokens,
        String text,
        boolean isLast,
        String finishReason,
        Optional<TargetLoad> load) {
    /** A chunk without a load report. */
    public AnswerChunk(int position, int tokens, String text, boolean isLast, String finishReason) {
        this(position, tokens, text, isLast, finishReason, Optional.empty());
    }

    public int endPosition() {
        return position + tokens;
    }
}
