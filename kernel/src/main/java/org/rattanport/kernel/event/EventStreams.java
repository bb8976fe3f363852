package org.rattanport.kernel.event;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.FlowableProcessor;
import io.reactivex.rxjava3.processors.PublishProcessor;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The event streams of one instance: what many parts watch, by type of event. A slow watcher loses
 * nothing up to its buffer and never holds back the publisher.
 */
public final class EventStreams {
    private static final int WATCHER_BUFFER_EVENTS = 1024;

    private final Map<Class<?>, FlowableProcessor<Object>> mProcessors = new ConcurrentHashMap<>();

    /** Delivers the event to all who watch its type. */
    public void publish(Object event) {
        processor(event.getClass()).onNext(event);
    }

    /** Returns the events of one type from now on; the oldest are dropped when a buffer is full. */
    public <T> Flowable<T> watch(Class<T> type) {
        return processor(type)
                .cast(type)
                .onBackpressureBuffer(
                        WATCHER_BUFFER_EVENTS,
                        () -> {},
                        io.reactivex.rxjava3.core.BackpressureOverflowStrategy.DROP_OLDEST);
    }

    private FlowableProcessor<Object> processor(Class<?> type) {
        return mProcessors.computeIfAbsent(
                type, ignored -> PublishProcessor.create().toSerialized());
    }
}
