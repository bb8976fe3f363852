package org.rattanport.kernel.request;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.kernel.model.RequestId;
import org.rattanport.kernel.time.ManualTimeSource;

final class RequestJournalTest {
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final RequestJournal mJournal = new RequestJournal(mTime);

    @Nested
    final class Explain {
        @Test
        void shouldReturnStepsInOrderWithTheirTimes() {
            RequestId id = new RequestId("req-1");
            mJournal.record(id, "admitted");
            mTime.advance(Duration.ofMillis(30));
            mJournal.record(id, "answered");
            assertThat(mJournal.explain(id).orElseThrow().steps())
                    .containsExactly(
                            new Explanation.Step(0, "admitted"),
                            new Explanation.Step(30, "answered"))
                    .inOrder();
        }

        @Test
        void shouldEvictTheOldestRequestsBeyondItsCapacity() {
            for (int i = 0; i < 5_000; i++) {
                mJournal.record(new RequestId("req-" + i), "admitted");
            }
            assertThat(mJournal.explain(new RequestId("req-0"))).isEmpty();
            assertThat(mJournal.explain(new RequestId("req-4999"))).isPresent();
        }
    }
}
