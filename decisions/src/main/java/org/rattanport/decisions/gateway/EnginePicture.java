package org.rattanport.decisions.gateway;

import java.util.List;

/**
 * What is known of the work at one engine at one moment.
 *
 * @param writers requests that write there, or will once their prompt is read
 * @param writersNow requests that write there now
 * @param contextTokens context of the requests that write now
 * @param heldTokens memory that is taken or promised
 * @param unreadMillis time that reading takes of what is still to be read there
 */
public record EnginePicture(
        List<Writer> writers,
        int writersNow,
        long contextTokens,
        long heldTokens,
        double unreadMillis) {
    /** A request that writes: the longest pause that is on time, and what a late answer loses. */
    public record Writer(double pauseMillis, double weight) {}

    /** An engine without work. */
    public static final EnginePicture IDLE = new EnginePicture(List.of(), 0, 0, 0, 0);

    /** Time of a pass that reads what waits and a new part besides. */
    public double passMillis(PassModel model, double partMillis) {
        return model.writingPassMillis(writersNow, contextTokens) + unreadMillis + partMillis;
    }

    /**
     * Predicts the time until a new part is read: what waits and the part itself are read in one
     * pass, which begins when the present one ends.
     */
    public double readFinishMillis(PassModel model, double partMillis) {
        double present = model.writingPassMillis(writersNow, contextTokens) / 2;
        return present + passMillis(model, partMillis);
    }

    /** What the writers lose for which a pass of that length is too long a pause. */
    public double harm(double passMillis) {
        double harm = 0;
        for (Writer writer : writers) {
            harm += passMillis > writer.pauseMillis() ? writer.weight() : 0;
        }
        return harm;
    }

    /** Whether some request here allows only pauses as short as that. */
    public boolean hasWriterOfPause(double pauseMillis) {
        return writers.stream().anyMatch(writer -> writer.pauseMillis() <= pauseMillis);
    }
}
