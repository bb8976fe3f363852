package org.rattanport.decisions.gateway.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Supplier;
import org.rattanport.decisions.gateway.relay.EventStreamParser.Event;
import org.rattanport.kernel.gateway.BackEndExchange;
import org.rattanport.kernel.gateway.CallerExchange;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.gateway.ResponseWriter;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Relays complete events as they arrive. When a back end fails during the stream, another one may
 * resume it: the relay skips the first events of its response that the caller already has and keeps
 * the headers of the first back end.
 */
public final class EventRelay implements ResponseRelay {
    /** Bytes without the end of an event, above which a response is no event stream. */
    private static final int MAX_EVENT_BYTES = 262_144;

    private final CallerExchange mCaller;
    private final TimeSource mTime;
    private final ArrivalListener mOnArrival;
    private final Runnable mOnEvent;
    private final Supplier<SilenceTimeout> mTimeout;
    private final TakeOver mTakeOver;
    private final Supplier<Duration> mRemainingPrefill;
    private final StreamPosition mPosition;
    private Optional<ResponseWriter> mResponse = Optional.empty();

    public EventRelay(
            CallerExchange caller,
            TimeSource time,
            Optional<String> resumeAfterId,
            Supplier<SilenceTimeout> timeout,
            TakeOver takeOver,
            Supplier<Duration> remainingPrefill,
            ArrivalListener onArrival,
            Runnable onEvent) {
        mCaller = caller;
        mTime = time;
        mPosition = new StreamPosition(resumeAfterId);
        mTimeout = timeout;
        mTakeOver = takeOver;
        mRemainingPrefill = remainingPrefill;
        mOnArrival = onArrival;
        mOnEvent = onEvent;
    }

    @Override
    public void relay(ResponseHead head, BackEndExchange exchange, Deadline deadline) {
        EventStreamParser parser = new EventStreamParser();
        boolean hasEvents = false;
        mPosition.beginResponse();
        Optional<List<Event>> events = awaitEvents(parser, exchange, deadline);
        while (events.isPresent()) {
            hasEvents = true;
            events.get().forEach(event -> forward(head, event));
            events = awaitEvents(parser, exchange, deadline);
        }
        requireComplete(head, parser, hasEvents);
        mPosition.endResponse();
        ResponseWriter response = start(head);
        response.write(parser.remainder());
        response.finish();
    }

    /** Waits for the next events; bytes that complete none do not extend the wait. */
    private Optional<List<Event>> awaitEvents(
            EventStreamParser parser, BackEndExchange exchange, Deadline deadline) {
        long waitStartNanos = mTime.nanoTime();
        Optional<List<Event>> events =
                mTimeout.get()
                        .await(
                                mTime,
                                deadline,
                                mTakeOver,
                                mRemainingPrefill,
                                limit -> readEvents(parser, exchange, limit));
        events.ifPresent(each -> mOnArrival.eventsArrived(each.size(), waitStartNanos));
        return events;
    }

    /** Reads until the bytes complete an event; empty at the end of the response. */
    private static Optional<List<Event>> readEvents(
            EventStreamParser parser, BackEndExchange exchange, Deadline limit) {
        while (true) {
            if (parser.pendingBytes() > MAX_EVENT_BYTES) {
                throw BrokenStream.because("an event of the stream is too long");
            }
            Optional<byte[]> chunk = exchange.awaitChunk(limit);
            if (chunk.isEmpty()) {
                return Optional.empty();
            }
            List<Event> events = parser.feed(chunk.get());
            if (!events.isEmpty()) {
                return Optional.of(events);
            }
        }
    }

    /** The end of a connection also ends a stream that has broken off. */
    private static void requireComplete(
            ResponseHead head, EventStreamParser parser, boolean hasEvents) {
        if (parser.isInsideEvent()) {
            throw BrokenStream.because("the stream ended inside an event");
        }
        if (head.isCloseDelimited() && !hasEvents) {
            throw BrokenStream.because("the stream ended before its first event");
        }
    }

    private void forward(ResponseHead head, Event event) {
        if (mPosition.advance(event)) {
            mOnEvent.run();
            start(head).write(event.bytes());
        }
    }

    private ResponseWriter start(ResponseHead head) {
        ResponseWriter response =
                mResponse.orElseGet(() -> mCaller.startResponse(head, OptionalInt.empty()));
        mResponse = Optional.of(response);
        return response;
    }

    @Override
    public boolean hasStarted() {
        return mResponse.isPresent();
    }

    @Override
    public Optional<ResponseRelay> continuation() {
        return hasStarted() && !mPosition.isCertain() ? Optional.empty() : Optional.of(this);
    }

    @Override
    public void abort() {
        mResponse.ifPresent(ResponseWriter::abort);
    }

    @Override
    public Optional<String> lastEventId() {
        return mPosition.lastId();
    }
}
