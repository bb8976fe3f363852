package org.rattanport.kernel.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Numbers that a back end names as its limit. */
final class RateLimitTest {
    @Nested
    final class ImpossibleNumbers {
        @Test
        void shouldBeNoLimit() {
            List.of(-1.0, -1e9, Double.NaN, Double.POSITIVE_INFINITY)
                    .forEach(each -> assertThat(RateLimit.of(each)).isEmpty());
            assertThrows(IllegalArgumentException.class, () -> new RateLimit(-0.5));
        }
    }

    @Nested
    final class UnusualNumbers {
        @Test
        void shouldBeLimits() {
            List.of(0.0, 0.2, 1e9, Double.MAX_VALUE)
                    .forEach(each -> assertThat(RateLimit.of(each)).hasValue(new RateLimit(each)));
        }
    }
}
