package org.rattanport.decisions.quota;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.TestDocuments;
import org.rattanport.kernel.environment.ClientAccount;
import org.rattanport.kernel.time.ManualTimeSource;

final class AccountTokenBucketsTest {
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final AccountTokenBuckets mBuckets = new AccountTokenBuckets(mTime);
    private final ClientAccount mAccount = TestDocuments.account("inspectors", 0);

    @Nested
    final class Granting {
        @Test
        void shouldEnforceTheRateOverTime() {
            long granted = 0;
            for (int i = 0; i < 1_000; i++) {
                granted += mBuckets.grant(mAccount, 50, 500);
                mTime.advance(Duration.ofMillis(10));
            }
            // Ten seconds at 1,000 tokens/s, one second at the start and one grant below zero.
            assertThat(granted).isAtMost(11_000 + 500);
            assertThat(granted).isAtLeast(9_500);
        }

        @Test
        void shouldGrantARequestLargerThanTheBurst() {
            assertThat(mBuckets.grant(mAccount, 50_000, 50_000)).isEqualTo(50_000);
            assertThat(mBuckets.grant(mAccount, 1, 1)).isEqualTo(0);
            mTime.advance(Duration.ofSeconds(48));
            assertThat(mBuckets.grant(mAccount, 1, 1)).isEqualTo(0);
            mTime.advance(Duration.ofSeconds(2));
            assertThat(mBuckets.grant(mAccount, 1, 1)).isEqualTo(1);
        }

        @Test
        void shouldLimitTokensGrantedInAdvance() {
            long first = mBuckets.grant(mAccount, 10, 1_000_000);
            assertThat(first).isAtMost(200);
            assertThat(mBuckets.grant(mAccount, 10, 10)).isEqualTo(10);
        }

        @Test
        void shouldStartWithOneSecondOfTheRateInsteadOfTheBurst() {
            assertThat(mBuckets.grant(mAccount, 1_000, 1_000)).isEqualTo(1_000);
            assertThat(mBuckets.grant(mAccount, 1, 1)).isEqualTo(0);
        }
    }
}
