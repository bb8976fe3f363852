package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.ScriptedBackEnds.Reaction;

/** What forwarding says about the arrival of events, from which slow engines are recognized. */
final class ForwardingArrivalsTest extends ForwardingHarness {
    private static final Duration STALL = Duration.ofMillis(1_500);

    /** An arrival: how many events, and for how long they were awaited. */
    private record Arrival(int events, Duration waited) {}

    private final List<Arrival> mArrivals = new ArrayList<>();
    private int mWritten;

    @BeforeEach
    void recordArrivals() {
        mSlack = 0; // no other engine takes the stalled stream over
        mWorkNotifier =
                new NoOpWorkNotifier() {
                    @Override
                    public void written(String id) {
                        assertThat(mArrivals).isEmpty();
                        mWritten++;
                    }

                    @Override
                    public void eventsArrived(String id, int events, long waitStartNanos) {
                        mArrivals.add(
                                new Arrival(
                                        events,
                                        Duration.ofNanos(mTime.nanoTime() - waitStartNanos)));
                    }
                };
    }

    @Nested
    final class Streams {
        @Test
        void shouldReportEachArrivalWithTheWaitForIt() {
            serve("/stream/x", Reaction.STALL);
            assertThat(mWritten).isEqualTo(1);
            assertThat(mArrivals)
                    .containsExactly(new Arrival(1, Duration.ZERO), new Arrival(1, STALL))
                    .inOrder();
        }

        /** The time in which the caller does not read would make the engine look slow. */
        @Test
        void shouldNotCountTheTimeOfASlowCallerAsAWait() {
            mCaller.mOnWrite = () -> mTime.advance(Duration.ofMillis(400));
            serve("/stream/x", Reaction.STALL);
            assertThat(mArrivals.getLast()).isEqualTo(new Arrival(1, STALL));
        }
    }

    @Nested
    final class PlainResponses {
        @Test
        void shouldReportNoArrival() {
            serve("/read/x", Reaction.RESPOND);
            assertThat(mArrivals).isEmpty();
        }
    }
}
