package org.rattanport.decisions.gateway.placement;

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
import org.rattanport.decisions.gateway.TestFleet;
import org.rattanport.decisions.gateway.discovery.EvacuatedDataCentres;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.EngineMemoryClient;
import org.rattanport.kernel.gateway.Evacuations;
import org.rattanport.kernel.gateway.StoreChange.Origin;
import org.rattanport.kernel.gateway.StorePosition;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.ManualTimeSource;
import org.rattanport.kernel.time.SystemTimeSource;

final class MemoryLeasesTest {
    private final EvacuatedDataCentres mEvacuated = TestFleet.evacuated(new SystemTimeSource());

    private static final BackEnd DECODE_ENGINE =
            TestFleet.backEnd("decode", TestFleet.ENGINES, false);

    /** Engine memory: refuses orders for full addresses and stores the granted leases. */
    private static final class FakeMemoryClient implements EngineMemoryClient {
        private final Set<String> mLeased = ConcurrentHashMap.newKeySet();
        private final Set<String> mFullAddresses = ConcurrentHashMap.newKeySet();
        private final Set<String> mRequestedIds = ConcurrentHashMap.newKeySet();
        private final CountDownLatch mRenewalsStarted = new CountDownLatch(3);
        private final CountDownLatch mRenewalsMayFinish = new CountDownLatch(1);
        private final CountDownLatch mReleased;
        private final CountDownLatch mFirstCheck = new CountDownLatch(1);
        private final CountDownLatch mChecks = new CountDownLatch(2);
        private volatile boolean mIsDecodeEngineAlive = true;

        private FakeMemoryClient(int releases) {
            mReleased = new CountDownLatch(releases);
        }

        @Override
        public boolean acquire(
                String address, String id, int tokens, Duration duration, Deadline deadline) {
            if (mFullAddresses.contains(address)) {
                return false;
            }
            if (!mRequestedIds.add(id)) {
                mRenewalsStarted.countDown();
                awaitUninterruptibly(mRenewalsMayFinish);
            }
            mLeased.add(id);
            return true;
        }

        @Override
        public boolean isReachable(String address, Deadline deadline) {
            mFirstCheck.countDown();
            mChecks.countDown();
            return mIsDecodeEngineAlive;
        }

        @Override
        public boolean release(String address, String id, Deadline deadline) {
            mLeased.remove(id);
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
                // An interrupt does not cancel an order that was sent.
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
    final class AllOrNothing {
        @Test
        void shouldHoldAllLeasesUntilClosed() throws InterruptedException {
            FakeMemoryClient client = new FakeMemoryClient(3);
            MemoryLeases.Lease lease =
                    new MemoryLeases(client, mEvacuated, new SystemTimeSource())
                            .acquire(reservations(), DECODE_ENGINE, engine -> {});
            assertThat(client.mLeased).hasSize(3);
            lease.close();
            assertThat(client.mReleased.await(20, TimeUnit.SECONDS)).isTrue();
            assertThat(client.mLeased).isEmpty();
        }

        @Test
        void shouldReleaseAfterRenewalInProgress() throws InterruptedException {
            FakeMemoryClient client = new FakeMemoryClient(3);
            MemoryLeases.Lease lease =
                    new MemoryLeases(
                                    client,
                                    mEvacuated,
                                    new SystemTimeSource(),
                                    Duration.ofMillis(1))
                            .acquire(reservations(), DECODE_ENGINE, engine -> {});
            assertThat(client.mRenewalsStarted.await(20, TimeUnit.SECONDS)).isTrue();
            lease.close();
            client.mRenewalsMayFinish.countDown();
            assertThat(client.mReleased.await(20, TimeUnit.SECONDS)).isTrue();
            assertThat(client.mLeased).isEmpty();
        }

        @Test
        void shouldReleaseGrantedLeasesWhenOneEngineRefuses() {
            FakeMemoryClient client = new FakeMemoryClient(3);
            client.mFullAddresses.add(reservations().get(1).engine().address());
            List<BackEnd> refused = new ArrayList<>();
            MemoryLeases leases = new MemoryLeases(client, mEvacuated, new SystemTimeSource());
            RattanportException error =
                    assertThrows(
                            RattanportException.class,
                            () -> leases.acquire(reservations(), DECODE_ENGINE, refused::add));
            assertThat(refused).containsExactly(reservations().get(1).engine());
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(client.mLeased).isEmpty();
        }
    }

    /** Engines in an evacuated data centre got orders for leases and checks of their address. */
    @Nested
    final class EvacuatedEngines {
        private final ManualTimeSource mTime = new ManualTimeSource();
        private final List<Reservation> mReservations =
                List.of(reservation("one", "a"), reservation("two", "b"));

        private static Reservation reservation(String id, String dataCentre) {
            return new Reservation(engine(id, dataCentre), "lease-" + id, 1_000);
        }

        private static BackEnd engine(String id, String dataCentre) {
            return new BackEnd(id, 1, TestFleet.ENGINES, id, dataCentre, 8, false);
        }

        private void evacuate(String dataCentre) {
            mEvacuated.record(
                    new Evacuations(new StorePosition(1, 2), Set.of(dataCentre)), Origin.STORE);
        }

        @Test
        void shouldGetNoOrder() {
            FakeMemoryClient client = new FakeMemoryClient(3);
            evacuate("b");
            List<BackEnd> refused = new ArrayList<>();
            MemoryLeases leases = new MemoryLeases(client, mEvacuated, mTime);
            RattanportException error =
                    assertThrows(
                            RattanportException.class,
                            () -> leases.acquire(mReservations, DECODE_ENGINE, refused::add));
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(refused).containsExactly(mReservations.get(1).engine());
            assertThat(client.mRequestedIds).containsExactly("lease-one");
            // Only the order that was sent is undone.
            assertThat(client.mReleased.getCount()).isEqualTo(2);
        }

        /** Work in progress ends as usual, so its leases are renewed and released. */
        @Test
        void shouldKeepTheLeasesOfWorkInProgressWithoutChecks() throws InterruptedException {
            FakeMemoryClient client = new FakeMemoryClient(2);
            client.mRenewalsMayFinish.countDown();
            client.mIsDecodeEngineAlive = false;
            MemoryLeases.Lease lease =
                    new MemoryLeases(client, mEvacuated, mTime, Duration.ofMillis(1))
                            .acquire(mReservations, engine("decode", "c"), engine -> {});
            evacuate("c");
            mTime.advance(Duration.ofSeconds(2));
            assertThat(client.mRenewalsStarted.await(20, TimeUnit.SECONDS)).isTrue();
            assertThat(client.mChecks.getCount()).isEqualTo(2);
            assertThat(client.mReleased.getCount()).isEqualTo(2);
            lease.close();
            assertThat(client.mReleased.await(20, TimeUnit.SECONDS)).isTrue();
        }
    }

    @Nested
    final class SilentDecodeEngine {
        private final ManualTimeSource mTime = new ManualTimeSource();

        private MemoryLeases.Lease acquire(FakeMemoryClient client) {
            client.mRenewalsMayFinish.countDown();
            return new MemoryLeases(client, mEvacuated, mTime, Duration.ofMillis(1))
                    .acquire(reservations(), DECODE_ENGINE, engine -> {});
        }

        @Test
        void shouldLoseItsMemoryWhenItDoesNotRespond() throws InterruptedException {
            FakeMemoryClient client = new FakeMemoryClient(3);
            client.mIsDecodeEngineAlive = false;
            acquire(client);
            mTime.advance(Duration.ofMillis(1_500));
            assertThat(client.mReleased.await(20, TimeUnit.SECONDS)).isTrue();
            assertThat(client.mLeased).isEmpty();
        }

        /** The lease records the response of a check only after the engine has given it. */
        private void awaitNextSign(MemoryLeases.Lease lease) throws InterruptedException {
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (!lease.silence().isZero()) {
                assertThat(System.nanoTime() - deadlineNanos).isLessThan(0L);
                TimeUnit.MILLISECONDS.sleep(1);
            }
        }

        @Test
        void shouldKeepItsMemoryWhileItResponds() throws InterruptedException {
            FakeMemoryClient client = new FakeMemoryClient(3);
            MemoryLeases.Lease lease = acquire(client);
            mTime.advance(Duration.ofMillis(1_500));
            assertThat(client.mFirstCheck.await(20, TimeUnit.SECONDS)).isTrue();
            awaitNextSign(lease);
            mTime.advance(Duration.ofMillis(1_500));
            assertThat(client.mChecks.await(20, TimeUnit.SECONDS)).isTrue();
            assertThat(client.mReleased.getCount()).isEqualTo(3);
            lease.close();
            assertThat(client.mReleased.await(20, TimeUnit.SECONDS)).isTrue();
        }

        @Test
        void shouldNotBeCheckedWhileItSendsEvents() throws InterruptedException {
            FakeMemoryClient client = new FakeMemoryClient(3);
            MemoryLeases.Lease lease = acquire(client);
            for (int i = 0; i < 10; i++) {
                lease.recordSignOfLife();
                mTime.advance(Duration.ofMillis(500));
                lease.recordSignOfLife();
            }
            assertThat(client.mRenewalsStarted.await(20, TimeUnit.SECONDS)).isTrue();
            assertThat(client.mChecks.getCount()).isEqualTo(2);
            lease.close();
        }
    }
}
