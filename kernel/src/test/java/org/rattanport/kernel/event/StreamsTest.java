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
    final class ReadingAll {
        @Test
        void shouldDeliverInOrderOnTheCallingTask() {
            List<Thread> threads = new ArrayList<>();
            List<Integer> seen = new ArrayList<>();
            Streams.readAll(
                    Flowable.range(0, 300),
                    each -> {
                        threads.add(Thread.currentThread());
                        seen.add(each);
                    });
            assertThat(seen).hasSize(300);
            assertThat(seen).isInOrder();
            assertThat(List.copyOf(new java.util.HashSet<>(threads)))
                    .containsExactly(Thread.currentThread());
        }

        @Test
        void shouldCloseTheStreamWhenTheConsumerThrows() {
            AtomicBoolean isClosed = new AtomicBoolean();
            Flowable<Integer> stream =
                    Flowable.generate(
                            () -> 1,
                            (state, emitter) -> {
                                emitter.onNext(state);
                            },
                            state -> isClosed.set(true));
            assertThrows(
                    IllegalStateException.class,
                    () ->
                            Streams.readAll(
                                    stream,
                                    each -> {
                                        throw new IllegalStateException("full");
                                    }));
            assertThat(isClosed.get()).isTrue();
        }
    }
}
