package org.rattanport.decisions.poison;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.kernel.model.Fingerprint;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.peer.Rumor;
import org.rattanport.kernel.time.ManualTimeSource;

final class SuspicionTableTest {
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final List<Rumor> mRumors = new ArrayList<>();
    private final SuspicionTable mTable = new SuspicionTable(mTime, mRumors::add);
    private final Fingerprint mPrompt = Fingerprint.of("account", "model", "text");

    @Nested
    final class Counting {
        @Test
        void shouldCountEachEngineOnce() {
            mTable.recordDeath(mPrompt, new TargetId("engine-1", 1));
            mTable.recordDeath(mPrompt, new TargetId("engine-1", 1));
            assertThat(mTable.deathCount(mPrompt)).isEqualTo(1);
            mTable.recordDeath(mPrompt, new TargetId("engine-1", 2));
            assertThat(mTable.deathCount(mPrompt)).isEqualTo(2);
        }

        @Test
        void shouldSpreadEachDeathOnce() {
            mTable.recordDeath(mPrompt, new TargetId("engine-1", 1));
            mTable.recordDeath(mPrompt, new TargetId("engine-1", 1));
            assertThat(mRumors).hasSize(1);
        }

        @Test
        void shouldClearARequestThatCompletes() {
            mTable.recordDeath(mPrompt, new TargetId("engine-1", 1));
            mTable.clear(mPrompt);
            assertThat(mTable.deathCount(mPrompt)).isEqualTo(0);
        }

        @Test
        void shouldExpireSuspicionsAfterAnHour() {
            mTable.recordDeath(mPrompt, new TargetId("engine-1", 1));
            mTime.advance(Duration.ofMinutes(61));
            assertThat(mTable.deathCount(mPrompt)).isEqualTo(0);
        }
    }

    @Nested
    final class IsolatedRuns {
        @Test
        void shouldAllowOneRunOfARequestAtATime() {
            assertThat(mTable.tryBeginIsolatedRun(mPrompt)).isTrue();
            assertThat(mTable.tryBeginIsolatedRun(mPrompt)).isFalse();
            mTable.endIsolatedRun(mPrompt);
            assertThat(mTable.tryBeginIsolatedRun(mPrompt)).isTrue();
        }

        @Test
        void shouldReportEnginesThatRunASuspect() {
            TargetId engine = new TargetId("engine-1", 1);
            mTable.recordSuspectStart(engine);
            assertThat(mTable.targetsRunningSuspects()).containsExactly(engine);
            mTable.recordSuspectEnd(engine);
            assertThat(mTable.targetsRunningSuspects()).isEmpty();
        }
    }
}
