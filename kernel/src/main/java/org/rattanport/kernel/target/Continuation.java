package org.rattanport.kernel.target;

/**
 * The part of an answer that was delivered before this attempt.
 *
 * @param position number of output tokens delivered; generation continues at this index
 * @param text text of these tokens; empty if only their number is known
 * @param isAttached whether the engine still has the stream, so that the attempt attaches to it
 */
public record Continuation(int position, String text, boolean isAttached) {
    public static final Continuation START = new Continuation(0, "", false);
}
