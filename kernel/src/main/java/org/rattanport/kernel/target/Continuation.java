package org.rattanport.kernel.target;

/**
 * What was delivered of an answer before this attempt.
 *
 * @param position output tokens delivered; generation goes on with this index
 * @param text their text, empty when only their number is known
 * @param isAttached whether the engine still holds the stream, so that it only reads on
 */
public record Continuation(int position, String text, boolean isAttached) {
    public static final Continuation START = new Continuation(0, "", false);
}
