package org.rattanport.decisions.gateway.relay;

import java.util.Optional;
import java.util.OptionalLong;
import org.rattanport.decisions.gateway.relay.EventStreamParser.Event;

/**
 * How far the caller has got in a stream of numbered events, which decides from which event another
 * back end may resume it. A back end may write a wrong number, so a number that does not follow
 * from those before it is passed on, but the stream is resumed after it only if a later event
 * confirms that the numbering has gaps.
 */
final class StreamPosition {
    private static final long FIRST_NUMBER = 1;

    private Optional<String> mLastId;
    private OptionalLong mLastNumber;
    private OptionalLong mLastStep = OptionalLong.empty();
    private boolean mHasEvents;
    private boolean mIsInOrder = true;

    /** Whether an event in order has followed a step of more than one. */
    private boolean mHasConfirmedGap;

    /** Whether the current response resumes the stream and has sent no new event yet. */
    private boolean mIsRepeating;

    /** Number of the last event of the current response that the caller already had. */
    private OptionalLong mLastRepeated = OptionalLong.empty();

    /**
     * Creates the position of a caller that has no event of this response.
     *
     * @param resumeAfterId id of the last event that the caller has from an earlier request
     */
    StreamPosition(Optional<String> resumeAfterId) {
        mLastId = resumeAfterId;
        mLastNumber = resumeAfterId.map(EventStreamParser::number).orElse(OptionalLong.empty());
    }

    /** Begins the response of a back end, which resumes the stream if the caller has events. */
    void beginResponse() {
        mIsRepeating = mHasEvents;
        mLastRepeated = OptionalLong.empty();
    }

    /**
     * Records an event; returns whether the caller lacks it.
     *
     * @throws org.rattanport.kernel.error.RattanportException when the event does not show how the
     *     response continues what the caller has
     */
    boolean advance(Event event) {
        if (event.isComment()) {
            return true;
        }
        if (mIsRepeating && isRepeated(event)) {
            return false;
        }
        mIsRepeating = false;
        record(event);
        return true;
    }

    private boolean isRepeated(Event event) {
        long last = mLastNumber.orElseThrow();
        long number =
                event.number().orElseThrow(() -> BrokenStream.because("an event has no number"));
        boolean mayBegin = mLastRepeated.isEmpty() && number <= last;
        long previous = mLastRepeated.orElse(last);
        boolean isInOrder = mHasConfirmedGap ? number > previous : number == previous + 1;
        if (!mayBegin && !isInOrder) {
            throw BrokenStream.because(
                    "event " + number + " of the resumed stream does not follow event " + previous);
        }
        if (number > last) {
            return false;
        }
        mLastRepeated = OptionalLong.of(number);
        return true;
    }

    private void record(Event event) {
        OptionalLong number = event.number();
        mIsInOrder &= number.isPresent();
        if (number.isPresent() && mLastNumber.isPresent()) {
            recordStep(number.getAsLong() - mLastNumber.getAsLong());
        }
        mHasEvents = true;
        mLastNumber = number.isPresent() ? number : mLastNumber;
        mLastId = event.id().or(() -> mLastId);
    }

    private void recordStep(long step) {
        mIsInOrder &= step > 0;
        mHasConfirmedGap |= mLastStep.isPresent() && mLastStep.getAsLong() > 1;
        mLastStep = OptionalLong.of(step);
    }

    /**
     * Checks the end of a response.
     *
     * @throws org.rattanport.kernel.error.RattanportException when the response repeated events and
     *     ended before it reached the last one that the caller has
     */
    void endResponse() {
        boolean isTooShort =
                mIsRepeating && mLastRepeated.isPresent() && !mLastRepeated.equals(mLastNumber);
        if (isTooShort) {
            throw BrokenStream.because("the stream ended before the last event that was sent");
        }
    }

    /** Whether another back end may resume the stream after the last event. */
    boolean isCertain() {
        if (!mHasEvents) {
            return true;
        }
        boolean isNext =
                mLastStep.isPresent()
                        ? mLastStep.getAsLong() == 1
                        : mLastNumber.equals(OptionalLong.of(FIRST_NUMBER));
        return mIsInOrder && (isNext || mHasConfirmedGap);
    }

    /** The id of the last event that the caller has. */
    Optional<String> lastId() {
        return mLastId;
    }
}
