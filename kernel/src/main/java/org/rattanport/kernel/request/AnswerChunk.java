package org.rattanport.kernel.request;

/**
 * A piece of an answer.
 *
 * @param position index of its first output token in the whole answer
 * @param tokens number of output tokens in it
 * @param text the text
 * @param isLast whether the answer is complete with it
 * @param finishReason reason of the end, or empty before the last chunk
 */
public record AnswerChunk(
        int position, int tokens, String text, boolean isLast, String finishReason) {
    public int endPosition() {
        return position + tokens;
    }
}
