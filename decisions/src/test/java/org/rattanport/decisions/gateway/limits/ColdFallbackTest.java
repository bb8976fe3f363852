package org.rattanport.decisions.gateway.limits;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.kernel.gateway.ColdBound;
import org.rattanport.kernel.gateway.ColdLimit;
import org.rattanport.kernel.time.ManualTimeSource;

/** Instances that reach no owner of a cold back end. */
final class ColdFallbackTest {
    private static final int INSTANCES = 144;
    private static final ColdLimit LIMIT = new ColdLimit(26, Duration.ofHours(1));
    private static final int STEP_MILLIS = 10;

    /** Requests of the fleet that the bound leaves beside the most that an owner lets through. */
    private static final int ROOM = 44 - 37;

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final Random mSeeds = new Random(1);
    private final List<ColdFallback> mFleet =
            Stream.generate(mSeeds::nextLong)
                    .limit(INSTANCES)
                    .map(seed -> new ColdFallback(ColdBound.DEFAULT, mTime, new Random(seed)))
                    .toList();

    /** Has all instances want the back end; returns the requests of each step. */
    private List<Integer> demand(Duration duration) {
        List<Integer> sent = new ArrayList<>();
        for (int i = 0; i < duration.toMillis() / STEP_MILLIS; i++) {
            sent.add((int) mFleet.stream().filter(each -> each.tryTake("a", LIMIT, 1)).count());
            mTime.advance(Duration.ofMillis(STEP_MILLIS));
        }
        return sent;
    }

    private static int sum(List<Integer> values) {
        return values.stream().mapToInt(Integer::intValue).sum();
    }

    private static int mostInOneSecond(List<Integer> sent) {
        int steps = 1_000 / STEP_MILLIS;
        return IntStream.rangeClosed(0, sent.size() - steps)
                .map(i -> sum(sent.subList(i, i + steps)))
                .max()
                .orElse(0);
    }

    @Nested
    final class WholeFleets {
        /** All instances lost the owner at once, and sent their first requests at once. */
        @Test
        void shouldNotSendTogether() {
            List<Integer> sent = demand(Duration.ofMinutes(3));
            assertThat(mostInOneSecond(sent)).isAtMost(2 * ROOM);
            // A round takes 65 s.
            assertThat(sum(sent)).isAtLeast(2 * INSTANCES);
        }

        /** Slots that no request used were all used in the same second later. */
        @Test
        void shouldNotSendTogetherAfterAQuietTime() {
            demand(Duration.ofSeconds(1));
            mTime.advance(Duration.ofMinutes(5));
            assertThat(mostInOneSecond(demand(Duration.ofMinutes(1)))).isAtMost(2 * ROOM);
        }
    }
}
