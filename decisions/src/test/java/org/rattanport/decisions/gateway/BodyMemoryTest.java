package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;

/** Which request bodies are admitted together. */
final class BodyMemoryTest {
    private static final int LARGE = 300_000;

    private final BodyMemory mMemory = new BodyMemory(1_000_000);

    @Nested
    final class LargeBodies {
        @Test
        void shouldBeRefusedAsNotRunWhenTheyDoNotFit() {
            mMemory.open().growTo(LARGE);
            mMemory.open().growTo(LARGE);
            BodyMemory.Claim third = mMemory.open();
            RattanportException error =
                    assertThrows(RattanportException.class, () -> third.growTo(LARGE));
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(error.retryAfter()).isPresent();
            assertThat(mMemory.takenBytes()).isEqualTo(2 * LARGE);
        }

        @Test
        void shouldLeaveRoomForSmallBodies() {
            mMemory.open().growTo(750_000);
            assertThrows(RattanportException.class, () -> mMemory.open().growTo(70_000));
            mMemory.open().growTo(60_000);
            assertThat(mMemory.takenBytes()).isEqualTo(810_000);
        }
    }

    @Nested
    final class Claims {
        @Test
        void shouldReleaseOnceWhatTheyTook() {
            BodyMemory.Claim claim = mMemory.open();
            claim.growTo(100);
            claim.growTo(50);
            claim.growTo(200);
            assertThat(mMemory.takenBytes()).isEqualTo(200);
            claim.close();
            claim.close();
            assertThat(mMemory.takenBytes()).isEqualTo(0);
        }
    }
}
