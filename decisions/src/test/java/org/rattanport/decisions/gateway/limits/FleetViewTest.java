package org.rattanport.decisions.gateway.limits;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.PeerHub;
import org.rattanport.decisions.gateway.TestFleet;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.RateLimit;
import org.rattanport.kernel.gateway.RateLimitEvent;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.time.ManualTimeSource;

/** Instances that see a part of the fleet, before a back end that is cold. */
final class FleetViewTest {
    private static final int MILLIS = 20_000;

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final PeerHub mHub = new PeerHub();
    private final BackEnd mCold =
            TestFleet.backEnd("a", TestFleet.ENGINES, false).withColdLeft(Duration.ofHours(1));

    private static Member member(String name) {
        return new Member(
                new InstanceId(name, 1), name + ":caller", name, "zone", MemberState.ALIVE, 0);
    }

    private RateLimitInstance instance(List<String> seeds) {
        RateLimitInstance instance =
                new RateLimitInstance(mHub.networkOf("self"), member("self"), mTime, 1, seeds);
        instance.setColdPerSecond(26);
        instance.limits().recordRegistered(mCold);
        return instance;
    }

    /** Tries for 20 s; returns the requests that the instance sent. */
    private int send(RateLimitInstance instance) {
        return send(instance, mCold);
    }

    private int send(RateLimitInstance instance, BackEnd backEnd) {
        int sent = 0;
        for (int i = 0; i < MILLIS; i += 10) {
            sent += instance.limits().tryUse(backEnd, 1, () -> true) ? 1 : 0;
            mTime.advance(Duration.ofMillis(10));
        }
        return sent;
    }

    /** The back end names a limit of two requests a second. */
    private void nameLimit(RateLimitInstance instance, BackEnd backEnd) {
        instance.limits()
                .recordResponse(
                        backEnd,
                        ResponseHead.builder(200).rateLimit(RateLimit.of(2)).build(),
                        ClockReading.now(mTime));
    }

    private static long count(RateLimitInstance instance, RateLimitEvent.Kind kind) {
        return instance.events().stream().filter(each -> each.kind() == kind).count();
    }

    @Nested
    final class LoneInstances {
        @Test
        void shouldUseTheWholeRateInAFleetOfOne() {
            assertThat(send(instance(List.of()))).isAtLeast((int) (0.8 * 26 * 19));
            assertThat(send(instance(List.of("self")))).isAtLeast((int) (0.8 * 26 * 19));
        }

        /** Each of many instances that started cut off from the others granted the whole rate. */
        @Test
        void shouldGrantNothingBeforeTheyHaveMetTheOthers() {
            RateLimitInstance instance = instance(List.of("self", "other"));
            assertThat(send(instance)).isAtMost(2);
            assertThat(count(instance, RateLimitEvent.Kind.GRANTED))
                    .isEqualTo(count(instance, RateLimitEvent.Kind.FALLBACK));
        }

        /** Each instance that looked for the others in vain owned a named limit by itself. */
        @Test
        void shouldGrantNothingOfANamedLimitWhileTheyLookForTheOthers() {
            RateLimitInstance instance = instance(List.of("self", "other"));
            BackEnd limited = TestFleet.backEnd("b", TestFleet.CALLS, false);
            nameLimit(instance, limited);
            assertThat(send(instance, limited)).isEqualTo(0);
            instance.findNobody();
            assertThat(send(instance, limited)).isAtLeast((int) (0.8 * 2 * 19));
        }
    }

    @Nested
    final class SmallParts {
        /** Each of many parts of a fleet had a full bucket, which all could use in one second. */
        @Test
        void shouldGrantNothingBelowAQuarterOfTheFleet() {
            for (int others = 3; others <= 4; others++) {
                RateLimitInstance instance = instance(List.of());
                for (int i = 0; i < others; i++) {
                    Member other = member("other-" + i);
                    new RateLimitInstance(mHub.networkOf("other-" + i), other, mTime, i);
                    instance.learn(other);
                    instance.learn(other.withState(MemberState.DEAD, 1));
                }
                int sent = send(instance);
                if (others == 3) {
                    assertThat(sent).isAtLeast((int) (0.7 * 26 / 4 * 18));
                    assertThat(sent).isAtMost((int) (1.1 * 26 / 4 * 20));
                } else {
                    assertThat(sent).isAtMost(2);
                }
            }
        }
    }
}
