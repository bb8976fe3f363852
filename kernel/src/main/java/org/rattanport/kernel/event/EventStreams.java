package org.rattanport.kernel.event;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.FlowableProcessor;
import io.reactivex.rxjava3.processors.PublishProcessor;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The event streams of one instance, by type of event. Each subscriber has its own buffer: a slow
 * subscriber never blocks the publisher, and loses the oldest events once its buffer is full.
 */
public final class EventStreams {
    private static final int SUBSCRIBER_BUFFER_EVENTS = 1024;

    private final Map<Class<?>, FlowableProcessor<Object>> mProcessors = new ConcurrentHashMap<>();

    /** Delivers the event to all subscribers of its type. */
    public void publish(Object event) {
        processor(event.getClass()).onNext(event);
    }

    /** Returns the stream of events of one type that are published after the subscription. */
    public <T> Flowable<T> stream(Class<T> type) {
        return processor(type)
                .cast(type)
                .onBackpressureBuffer(
                        SUBSCRIBER_BUFFER_EVENTS,
                        () -> {},
                        io.reactivex.rxjava3.core.BackpressureOverflowStrategy.DROP_OLDEST);
    }

    private FlowableProcessor<Object> processor(Class<?> type) {
        return mProcessors.computeIfAbsent(
                type, ignored -> PublishProcessor.create().toSerialized());
    }
}
