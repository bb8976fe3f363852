package org.rattanport.decisions.gateway;

/**
 * What is known of the work at one engine at one moment.
 *
 * @param writers requests that write there, or will once their prompt is read
 * @param writersNow requests that write there now
 * @param contextTokens context of the requests that write now
 * @param heldTokens memory that is taken or promised
 * @param unreadTokens prompt tokens still to be read there
 * @param unreadMillis time that reading them takes
 * @param waitingReads requests of which something is still to be read there
 */
public record EnginePicture(
        int writers,
        int writersNow,
        long contextTokens,
        long heldTokens,
        double unreadTokens,
        double unreadMillis,
        int waitingReads) {
    /** An engine without work. */
    public static final EnginePicture IDLE = new EnginePicture(0, 0, 0, 0, 0, 0, 0);

    /**
     * Predicts the time until a new part is read: a pass in which others write takes a whole stride
     * of steps, and only a bounded piece is read in it.
     */
    public double readFinishMillis(PassModel model, double tokens, double millis) {
        double pass = model.writingPassMillis(writersNow, contextTokens);
        double reading = unreadMillis + millis;
        if (writersNow == 0) {
            return reading;
        }
        int passes = model.passes(unreadTokens + tokens);
        // On average the new part arrives in the middle of a pass.
        return pass / 2 + passes * pass + reading;
    }
}
