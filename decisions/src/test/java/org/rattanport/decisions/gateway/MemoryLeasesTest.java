package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.MemoryOrders;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.SystemTimeSource;

final class MemoryLeasesTest {
    /** Engines' memory: refuses some addresses and keeps what is held. */
    private static final class FakeOrders implements MemoryOrders {
        private final Set<String> mHeld = ConcurrentHashMap.newKeySet();
        private final Set<String> mFull = ConcurrentHashMap.newKeySet();
        private final Set<String> mAsked = ConcurrentHashMap.newKeySet();
        private final CountDownLatch mRenewing = new CountDownLatch(3);
        private final CountDownLatch mRenewalMayEnd = new CountDownLatch(1);
        private final CountDownLatch mReleased;

        private FakeOrders(int releases) {
            mReleased = new CountDownLatch(releases);
        }

        @Override
        public boolean reserve(
                String address, String id, int tokens, Duration hold, Deadline deadline) {
            if (mFull.contains(address)) {
                return false;
            }
            if (!mAsked.add(id)) {
                mRenewing.countDown();
                awaitUninterruptibly(mRenewalMayEnd);
            }
            mHeld.add(id);
            return true;
        }

        @Override
        public boolean release(String address, String id, Deadline deadline) {
            mHeld.remove(id);
            mReleased.countDown();
            return true;
        }
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        while (true) {
            try {
                latch.await();
                return;
            } catch (InterruptedException e) {
                // An order that is on its way is not taken back by an interrupt.
                continue;
            }
        }
    }

    private static List<Reservation> reservations() {
        return TestFleet.engines(3).stream()
                .map(engine -> new Reservation(engine, "lease-" + engine.id(), 1_000))
                .toList();
    }

    @Nested
    final class AllOrNone {
        @Test
        void shouldHoldAllUntilClosed() throws InterruptedException {
            FakeOrders orders = new FakeOrders(3);
            MemoryLeases.Lease lease =
                    new MemoryLeases(orders, new SystemTimeSource())
                            .acquire(reservations(), engine -> {});
            assertThat(orders.mHeld).hasSize(3);
            lease.close();
            assertThat(orders.mReleased.await(20, TimeUnit.SECONDS)).isTrue();
            assertThat(orders.mHeld).isEmpty();
        }

        @Test
        void shouldGiveBackAfterARenewalThatIsUnderWay() throws InterruptedException {
            FakeOrders orders = new FakeOrders(3);
            MemoryLeases.Lease lease =
                    new MemoryLeases(orders, new SystemTimeSource(), Duration.ofMillis(1))
                            .acquire(reservations(), engine -> {});
            assertThat(orders.mRenewing.await(20, TimeUnit.SECONDS)).isTrue();
            lease.close();
            orders.mRenewalMayEnd.countDown();
            assertThat(orders.mReleased.await(20, TimeUnit.SECONDS)).isTrue();
            assertThat(orders.mHeld).isEmpty();
        }

        @Test
        void shouldGiveBackWhatItGotWhenOneEngineHasNoRoom() {
            FakeOrders orders = new FakeOrders(3);
            orders.mFull.add(reservations().get(1).engine().address());
            List<BackEnd> refused = new ArrayList<>();
            MemoryLeases leases = new MemoryLeases(orders, new SystemTimeSource());
            RattanportException error =
                    assertThrows(
                            RattanportException.class,
                            () -> leases.acquire(reservations(), refused::add));
            assertThat(refused).containsExactly(reservations().get(1).engine());
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(orders.mHeld).isEmpty();
        }
    }
}
