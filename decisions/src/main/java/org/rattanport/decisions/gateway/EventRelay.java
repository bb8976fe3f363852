package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Supplier;
import org.rattanport.decisions.gateway.EventReader.Event;
import org.rattanport.kernel.gateway.AnswerHead;
import org.rattanport.kernel.gateway.BackEndExchange;
import org.rattanport.kernel.gateway.CallerExchange;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Passes whole events on as they come. After a break another back end may go on: events that the
 * caller has are left out, and the answer keeps the headers of its first back end.
 */
final class EventRelay implements AnswerRelay {
    private final CallerExchange mCaller;
    private final TimeSource mTime;
    private final Runnable mOnEvent;
    private final Supplier<Patience> mPatience;
    private final Supplier<Duration> mReading;
    private Optional<Event> mLast = Optional.empty();
    private final Optional<String> mCallerHas;
    private boolean mHasStarted;

    EventRelay(
            CallerExchange caller,
            TimeSource time,
            Optional<String> callerHas,
            Supplier<Patience> patience,
            Supplier<Duration> reading,
            Runnable onEvent) {
        mCaller = caller;
        mTime = time;
        mCallerHas = callerHas;
        mPatience = patience;
        mReading = reading;
        mOnEvent = onEvent;
    }

    @Override
    public void relay(AnswerHead head, BackEndExchange exchange, Deadline deadline) {
        EventReader reader = new EventReader();
        Optional<byte[]> piece = exchange.next(deadline);
        while (piece.isPresent()) {
            for (Event event : reader.take(piece.get())) {
                pass(head, event);
            }
            piece =
                    mHasStarted
                            ? mPatience.get().await(mTime, deadline, mReading, exchange::next)
                            : exchange.next(deadline);
        }
        start(head);
        mCaller.write(reader.rest());
        mCaller.finish();
    }

    private void pass(AnswerHead head, Event event) {
        boolean isKnown =
                event.number().isPresent()
                        && mLast.isPresent()
                        && mLast.get().number().isPresent()
                        && event.number().getAsLong() <= mLast.get().number().getAsLong();
        if (isKnown) {
            return;
        }
        mOnEvent.run();
        start(head);
        mCaller.write(event.bytes());
        if (event.id().isPresent()) {
            mLast = Optional.of(event);
        }
    }

    private void start(AnswerHead head) {
        if (!mHasStarted) {
            mHasStarted = true;
            mCaller.start(head, OptionalInt.empty());
        }
    }

    @Override
    public boolean hasStarted() {
        return mHasStarted;
    }

    @Override
    public Optional<String> lastEventId() {
        return mLast.flatMap(Event::id).or(() -> mCallerHas);
    }
}
