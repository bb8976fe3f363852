package org.rattanport.kernel.event;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.reactivex.rxjava3.core.Flowable;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class StreamsTest {
    @Nested
    final class ForEach {
        @Test
        void shouldDeliverInOrderOnTheCallingTask() {
            List<Thread> threads = new ArrayList<>();
            List<Integer> received = new ArrayList<>();
            Streams.forEach(
                    Flowable.range(0, 300),
                    each -> {
                        threads.add(Thread.currentThread());
                        received.add(each);
                    });
            assertThat(received).hasSize(300);
            assertThat(received).isInOrder();
            assertThat(List.copyOf(new java.util.HashSet<>(threads)))
                    .containsExactly(Thread.currentThread());
        }

        @Test
        void shouldCancelTheStreamWhenTheConsumerThrows() {
            AtomicBoolean isCancelled = new AtomicBoolean();
            Flowable<Integer> stream =
                    Flowable.generate(
                            () -> 1,
                            (state, emitter) -> {
                                emitter.onNext(state);
                            },
                            state -> isCancelled.set(true));
            assertThrows(
                    IllegalStateException.class,
                    () ->
                            Streams.forEach(
                                    stream,
                                    each -> {
                                        throw new IllegalStateException("full");
                                    }));
            assertThat(isCancelled.get()).isTrue();
        }
    }
}
