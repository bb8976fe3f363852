package org.rattanport.decisions.ordering;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.TestDocuments;
import org.rattanport.decisions.placement.Placement;
import org.rattanport.decisions.placement.PlacementPolicy;
import org.rattanport.decisions.placement.PlacementRequest;
import org.rattanport.decisions.target.EngineLoadTable;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.model.AccountId;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetKind;
import org.rattanport.kernel.model.TargetLoad;
import org.rattanport.kernel.request.PromptRequest;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.ManualTimeSource;

final class OrderingTest {
    private static final long SECOND = 1_000_000_000L;

    @Nested
    final class Ageing {
        private final WeightedAgeing mPolicy = new WeightedAgeing();

        @Test
        void shouldPutHigherPrioritiesFirst() {
            assertThat(first(entry(5, 0, 100, 60), entry(0, 0, 1, 60), 0)).isEqualTo(0);
        }

        @Test
        void shouldRaisePriorityWithWaitingTime() {
            QueueEntry old = entry(0, 0, 100, 600);
            QueueEntry fresh = entry(5, 70 * SECOND, 1, 600);
            assertThat(first(old, fresh, 70 * SECOND)).isEqualTo(0);
        }

        @Test
        void shouldShareByWeightWithinAPriority() {
            assertThat(first(entry(0, 0, 500, 60), entry(0, 0, 100, 60), 0)).isEqualTo(1);
        }

        @Test
        void shouldPutEntriesCloseToTheirDeadlineFirst() {
            QueueEntry urgent = entry(0, 0, 900, 10);
            QueueEntry important = entry(5, 0, 1, 600);
            assertThat(first(urgent, important, SECOND)).isEqualTo(1);
            assertThat(first(urgent, important, 8 * SECOND)).isEqualTo(0);
        }

        private int first(QueueEntry left, QueueEntry right, long now) {
            return mPolicy.order(now).compare(left, right) <= 0 ? 0 : 1;
        }

        private QueueEntry entry(int priority, long arrival, double finishTag, int limitSeconds) {
            Duration limit = Duration.ofSeconds(limitSeconds);
            PromptRequest request =
                    PromptRequest.builder()
                            .priority(priority)
                            .timeLimit(limit, new Deadline(arrival + limit.toNanos()))
                            .build();
            return new QueueEntry(
                    request,
                    "key",
                    TestDocuments.document(),
                    0,
                    1,
                    Set.of(),
                    arrival,
                    finishTag,
                    new CompletableFuture<>());
        }
    }

    @Nested
    final class Dispatching {
        private final ManualTimeSource mTime = new ManualTimeSource();
        private final EngineLoadTable mEngineLoads = new EngineLoadTable(new EventStreams(), mTime);
        private final Target mEngine =
                new Target(
                        new TargetId("engine", 1),
                        TargetKind.ENGINE,
                        TestDocuments.MODEL,
                        "127.0.0.1:1",
                        "dc",
                        false);
        private boolean mHasCapacity = true;
        private final Dispatcher mDispatcher =
                new Dispatcher(
                        model -> List.of(mEngine),
                        mEngineLoads,
                        new CapacityPolicy(),
                        new WeightedAgeing(),
                        () -> 1,
                        mTime);

        Dispatching() {
            mEngineLoads.update(
                    new TargetLoad(mEngine.id(), 1, 0, 0, 0, 400_000, 20_000, 0.02, false));
        }

        @Test
        void shouldCountAPlacedAttemptUntilItEnds() {
            Placement placement = acquire("a", Duration.ofSeconds(5));
            assertThat(outstanding()).isEqualTo(1);
            mDispatcher.release(placement, "a");
            assertThat(outstanding()).isEqualTo(0);
        }

        @Test
        void shouldFailAsNotRunAtTheDeadline() {
            mHasCapacity = false;
            RattanportException error =
                    assertThrows(
                            RattanportException.class, () -> acquire("a", Duration.ofMillis(0)));
            assertThat(error.code()).isEqualTo(ErrorCode.DEADLINE_EXCEEDED);
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(mDispatcher.queuedTokens()).isEqualTo(0);
        }

        @Test
        void shouldLeaveTheQueueOnCancellation() {
            mHasCapacity = false;
            Cancellation cancellation = new Cancellation();
            cancellation.cancel();
            RattanportException error =
                    assertThrows(
                            RattanportException.class,
                            () -> acquire("a", Duration.ofHours(1), cancellation));
            assertThat(error.code()).isEqualTo(ErrorCode.CANCELLED);
            assertThat(mDispatcher.queuedTokens()).isEqualTo(0);
        }

        private long outstanding() {
            return mEngineLoads.find(mEngine.id()).orElseThrow().outstanding();
        }

        private Placement acquire(String key, Duration limit) {
            return acquire(key, limit, new Cancellation());
        }

        private Placement acquire(String key, Duration limit, Cancellation cancellation) {
            PromptRequest request =
                    PromptRequest.builder()
                            .account(new AccountId("inspectors"))
                            .model(TestDocuments.MODEL)
                            .promptTokens(1_000)
                            .timeLimit(limit, Deadline.after(mTime, limit))
                            .build();
            return mDispatcher.acquire(
                    request, key, TestDocuments.active(), Set.of(), cancellation);
        }

        /** Chooses the only engine while it has capacity. */
        private final class CapacityPolicy implements PlacementPolicy {
            @Override
            public String name() {
                return "room";
            }

            @Override
            public Optional<Placement> choose(PlacementRequest request) {
                return mHasCapacity
                        ? Optional.of(new Placement(mEngine, 0, false, 0))
                        : Optional.empty();
            }
        }
    }
}
