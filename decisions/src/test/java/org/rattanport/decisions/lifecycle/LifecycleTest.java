package org.rattanport.decisions.lifecycle;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.FakeMembership;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.decisions.membership.RumorQueue;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.ManualTimeSource;
import org.rattanport.kernel.time.TimeSource;

final class LifecycleTest {
    private final ManualTimeSource mTime = new ManualTimeSource();

    @Nested
    final class Addresses {
        private final FakeMembership mMembership =
                new FakeMembership()
                        .add("a", "near", MemberState.ALIVE)
                        .add("b", "near", MemberState.ALIVE)
                        .add("c", "near", MemberState.LEAVING)
                        .add("d", "far", MemberState.SUSPECT)
                        .add("e", "far", MemberState.ALIVE)
                        .add("f", "far", MemberState.ALIVE);

        @Test
        void shouldReturnOnlyAliveInstances() {
            Set<String> returned = new HashSet<>();
            for (int seed = 0; seed < 50; seed++) {
                returned.addAll(
                        new AddressSelector(
                                        mMembership,
                                        AddressSelector.AddressCounts.DEFAULTS,
                                        new Random(seed))
                                .addresses("near"));
            }
            assertThat(returned).containsExactly("a:caller", "b:caller", "e:caller", "f:caller");
        }

        @Test
        void shouldListLocalInstancesFirst() {
            List<String> addresses =
                    new AddressSelector(
                                    mMembership,
                                    AddressSelector.AddressCounts.DEFAULTS,
                                    new Random(1))
                            .addresses("near");
            assertThat(addresses.subList(0, 2)).containsExactly("a:caller", "b:caller");
        }

        @Test
        void shouldSpreadCallersOverInstances() {
            Set<String> firsts = new HashSet<>();
            AddressSelector selector =
                    new AddressSelector(
                            mMembership, AddressSelector.AddressCounts.DEFAULTS, new Random(1));
            for (int i = 0; i < 50; i++) {
                firsts.add(selector.addresses("unknown").getFirst());
            }
            assertThat(firsts).hasSize(4);
        }
    }

    /** Equal shares of the requests overload the smallest machines, which are a sixth as fast. */
    @Nested
    final class Capacities {
        private static final int ANSWERS = 20_000;

        /** Deviation from the exact share that a caller does not notice. */
        private static final double TOLERANCE = 0.15;

        /** As many addresses as the gateway names, which is all of a data centre. */
        private static final AddressSelector.AddressCounts LONG_LIST =
                new AddressSelector.AddressCounts(64, 0, 3);

        private final Map<String, Integer> mCapacities = new LinkedHashMap<>();
        private final FakeMembership mMembership = new FakeMembership();

        private AddressSelector selector(AddressSelector.AddressCounts counts) {
            return new AddressSelector(mMembership, counts, new Random(5));
        }

        private void add(String name, String dataCentre, int millicores) {
            mMembership.add(name, dataCentre, MemberState.ALIVE, millicores);
            mCapacities.put(name + ":caller", millicores);
        }

        private void addDataCentre() {
            for (int i = 0; i < 12; i++) {
                add("small-" + i, "near", 252);
                add("middle-" + i, "near", 750);
                add("large-" + i, "near", 1_500);
            }
            add("far", "far", 1_500);
        }

        private void checkShares(Map<String, Double> requests) {
            double near = mCapacities.values().stream().mapToInt(each -> each).sum() - 1_500;
            for (String kind : List.of("small", "middle", "large")) {
                double expected = 12 * mCapacities.get(kind + "-0:caller") / near;
                double actual =
                        requests.entrySet().stream()
                                        .filter(each -> each.getKey().startsWith(kind))
                                        .mapToDouble(Map.Entry::getValue)
                                        .sum()
                                / ANSWERS;
                assertWithMessage(kind).that(actual).isWithin(TOLERANCE * expected).of(expected);
            }
        }

        @Test
        void shouldGiveCallersThatUseTheFirstAddressInProportion() {
            addDataCentre();
            Map<String, Double> requests = new HashMap<>();
            AddressSelector selector = selector(LONG_LIST);
            for (int i = 0; i < ANSWERS; i++) {
                requests.merge(selector.addresses("near").getFirst(), 1.0, Double::sum);
            }
            checkShares(requests);
        }

        @Test
        void shouldGiveCallersThatUseAnyAddressInProportion() {
            addDataCentre();
            Map<String, Double> requests = new HashMap<>();
            AddressSelector selector = selector(LONG_LIST);
            for (int i = 0; i < ANSWERS; i++) {
                List<String> addresses = selector.addresses("near");
                addresses.forEach(
                        each -> requests.merge(each, 1.0 / addresses.size(), Double::sum));
            }
            checkShares(requests);
        }

        @Test
        void shouldGiveAShortListInProportionOfItsFirstAddress() {
            add("small", "near", 252);
            add("large", "near", 1_500);
            AddressSelector selector = selector(AddressSelector.AddressCounts.DEFAULTS);
            int small = 0;
            for (int i = 0; i < ANSWERS; i++) {
                small += selector.addresses("near").getFirst().equals("small:caller") ? 1 : 0;
            }
            double expected = 252.0 / 1_752;
            assertThat((double) small / ANSWERS).isWithin(TOLERANCE * expected).of(expected);
        }

        @Test
        void shouldStillNameEnoughAddresses() {
            add("small", "near", 252);
            add("large", "near", 1_500);
            add("far", "far", 252);
            AddressSelector selector = selector(LONG_LIST);
            for (int i = 0; i < ANSWERS; i++) {
                assertThat(selector.addresses("near")).hasSize(3);
            }
        }

        @Test
        void shouldKeepTheSameListsForEqualCapacities() {
            FakeMembership equal = new FakeMembership();
            List<Member> shuffled = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                equal.add("m" + i, "near", MemberState.ALIVE, 252);
            }
            Random expected = new Random(5);
            AddressSelector selector = new AddressSelector(equal, LONG_LIST, new Random(5));
            for (int i = 0; i < 100; i++) {
                shuffled.clear();
                shuffled.addAll(equal.aliveMembers());
                Collections.shuffle(shuffled, expected);
                assertThat(selector.addresses("near"))
                        .containsExactlyElementsIn(
                                shuffled.stream().map(Member::callerAddress).toList())
                        .inOrder();
            }
        }
    }

    @Nested
    final class Draining {
        /** Time without a new request at the end of a drain. */
        private static final Duration QUIET_TIME = Duration.ofMillis(200);

        /** Longest time that a drain lasts after its deadline. */
        private static final Duration CUT_TIME = Duration.ofMillis(200);

        private final MemberTable mMembers =
                new MemberTable(
                        new FakeMembership().add("a", "dc", MemberState.ALIVE).self(),
                        new RumorQueue(),
                        new EventStreams());
        private final InFlightRequests mInFlight = new InFlightRequests(mTime);
        private final Drain mDrain = new Drain(mMembers, mInFlight, Duration.ofSeconds(10), mTime);

        @Test
        void shouldServeUntilTheAddressTimeToLiveHasPassed() {
            long before = mTime.nanoTime();
            assertThat(mDrain.drain(Deadline.after(mTime, Duration.ofMinutes(1)))).isTrue();
            assertThat(mTime.nanoTime() - before)
                    .isEqualTo(Duration.ofSeconds(10).plus(QUIET_TIME).toNanos());
            assertThat(mMembers.self().state()).isEqualTo(MemberState.LEAVING);
        }

        /** A stop that waited for a start accepted requests for the whole time after it. */
        @Test
        void shouldCountTheTimeToLiveFromTheStopSignal() {
            long before = mTime.nanoTime();
            Deadline deadline = Deadline.after(mTime, Duration.ofMinutes(1));
            assertThat(mDrain.drain(deadline, Duration.ofSeconds(4))).isTrue();
            assertThat(mTime.nanoTime() - before)
                    .isEqualTo(Duration.ofSeconds(6).plus(QUIET_TIME).toNanos());
        }

        @Test
        void shouldRefuseRequestsAsNotRunAfterTheDrain() {
            mDrain.drain(Deadline.after(mTime, Duration.ofMinutes(1)));
            RattanportException error = assertThrows(RattanportException.class, mInFlight::begin);
            assertThat(error.code()).isEqualTo(ErrorCode.STOPPING);
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
        }

        @Test
        void shouldReturnFalseWhenRequestsOutliveTheDeadline() throws Exception {
            AutoCloseable request = mInFlight.begin();
            assertThat(mDrain.drain(Deadline.after(mTime, Duration.ofSeconds(10)))).isFalse();
            request.close();
            assertThat(mInFlight.count()).isEqualTo(0);
        }

        /** Requests that outlived a drain were left to the end of the process. */
        @Test
        void shouldCutRequestsThatOutliveTheDeadline() {
            AtomicInteger cuts = new AtomicInteger();
            AutoCloseable[] request = new AutoCloseable[1];
            request[0] =
                    mInFlight.begin(
                            () -> {
                                cuts.incrementAndGet();
                                closeRequest(request[0]);
                            });
            assertThat(mDrain.drain(Deadline.after(mTime, Duration.ofSeconds(10)))).isFalse();
            assertThat(cuts.get()).isEqualTo(1);
            assertThat(mInFlight.count()).isEqualTo(0);
        }

        /**
         * A paused process found its drain over before it had read the requests of the pause, and
         * ended under their refusals.
         */
        @Test
        void shouldWaitForRequestsThatAreReadLate() {
            AtomicInteger sleeps = new AtomicInteger();
            AtomicReference<InFlightRequests.Entry> late = new AtomicReference<>();
            TimeSource time =
                    new TimeSource() {
                        @Override
                        public long nanoTime() {
                            return mTime.nanoTime();
                        }

                        @Override
                        public long wallMillis() {
                            return mTime.wallMillis();
                        }

                        @Override
                        public void sleep(Duration duration) {
                            // The first sleep is that until the refusals begin.
                            if (sleeps.incrementAndGet() == 2) {
                                late.set(mInFlight.enter(() -> closeRequest(late.get())));
                            }
                            mTime.sleep(duration);
                        }
                    };
            Drain drain = new Drain(mMembers, mInFlight, Duration.ofSeconds(10), time);
            assertThat(drain.drain(Deadline.after(mTime, Duration.ofSeconds(11)))).isFalse();
            assertThat(late.get()).isNotNull();
            assertThat(mInFlight.count()).isEqualTo(0);
        }

        /**
         * A pause in the last wait for quiet ended the drain before the process had read the
         * requests of the pause, and it ended under their refusals.
         */
        @Test
        void shouldWaitForRequestsOfAPauseInItsLastWait() {
            int lastQuietSleep = 5;
            AtomicInteger sleeps = new AtomicInteger();
            AtomicReference<InFlightRequests.Entry> late = new AtomicReference<>();
            TimeSource time =
                    new TimeSource() {
                        @Override
                        public long nanoTime() {
                            return mTime.nanoTime();
                        }

                        @Override
                        public long wallMillis() {
                            return mTime.wallMillis();
                        }

                        @Override
                        public void sleep(Duration duration) {
                            int count = sleeps.incrementAndGet();
                            mTime.sleep(duration);
                            if (count == lastQuietSleep) {
                                mTime.advance(Duration.ofMillis(700));
                            }
                            if (count == lastQuietSleep + 1) {
                                late.set(mInFlight.enter(() -> closeRequest(late.get())));
                            }
                        }
                    };
            Drain drain = new Drain(mMembers, mInFlight, Duration.ofSeconds(10), time);
            assertThat(drain.drain(Deadline.after(mTime, Duration.ofSeconds(12)))).isFalse();
            assertThat(late.get()).isNotNull();
            assertThat(mInFlight.count()).isEqualTo(0);
        }

        /** A request whose head came after the cut was waited for without a cut. */
        @Test
        void shouldCutRequestsThatComeAfterTheCut() {
            AutoCloseable late = mInFlight.begin();
            mDrain.drain(Deadline.after(mTime, Duration.ofSeconds(10)));
            closeRequest(late);
            AtomicInteger cuts = new AtomicInteger();
            closeRequest(mInFlight.enter(cuts::incrementAndGet));
            assertThat(cuts.get()).isEqualTo(1);
        }

        /** Requests that were read while the plug-ins stopped were refused in the log only. */
        @Test
        void shouldCloseItsIntakeWhenNoMoreRequestsCome() {
            long before = mTime.nanoTime();
            AtomicReference<Duration> closed = new AtomicReference<>();
            mDrain.register(
                    timeout -> {
                        closed.set(Duration.ofNanos(mTime.nanoTime() - before));
                        return true;
                    });
            assertThat(mDrain.drain(Deadline.after(mTime, Duration.ofMinutes(1)))).isTrue();
            assertThat(closed.get()).isEqualTo(Duration.ofSeconds(10).plus(QUIET_TIME));
        }

        /** What the intake has read as it closes is waited for, no longer than the drain. */
        @Test
        void shouldCutWhatTheIntakeHasReadAtTheDeadline() {
            long before = mTime.nanoTime();
            AtomicReference<InFlightRequests.Entry> late = new AtomicReference<>();
            mDrain.register(
                    timeout -> {
                        if (late.get() == null) {
                            late.set(mInFlight.enter(() -> closeRequest(late.get())));
                        }
                        mTime.advance(timeout);
                        return mInFlight.count() == 0;
                    });
            assertThat(mDrain.drain(Deadline.after(mTime, Duration.ofSeconds(12)))).isFalse();
            assertThat(mInFlight.count()).isEqualTo(0);
            assertThat(mTime.nanoTime() - before)
                    .isEqualTo(Duration.ofSeconds(12).plus(CUT_TIME).toNanos());
        }

        /** A drain that was quiet at its deadline said that it had cut requests. */
        @Test
        void shouldLeaveItsIntakeAMomentAtTheDeadline() {
            mDrain.register(timeout -> timeout.equals(CUT_TIME));
            assertThat(mDrain.drain(Deadline.after(mTime, Duration.ofSeconds(5)))).isTrue();
        }

        /** A stop without a request said that it had cut some, as its intake closed too late. */
        @Test
        void shouldNotCountALateIntakeAsACut() {
            mDrain.register(timeout -> false);
            assertThat(mDrain.drain(Deadline.after(mTime, Duration.ofSeconds(5)))).isTrue();
        }

        /** A stop whose requests were cut went on taking in others. */
        @Test
        void shouldCloseItsIntakeAfterACut() {
            AtomicInteger closes = new AtomicInteger();
            mDrain.register(timeout -> closes.incrementAndGet() > 0);
            AutoCloseable[] request = new AutoCloseable[1];
            request[0] = mInFlight.begin(() -> closeRequest(request[0]));
            assertThat(mDrain.drain(Deadline.after(mTime, Duration.ofSeconds(10)))).isFalse();
            assertThat(closes.get()).isEqualTo(1);
        }

        private static void closeRequest(AutoCloseable request) {
            try {
                request.close();
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        }
    }
}
