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
            mTable.died(mPrompt, new TargetId("engine-1", 1));
            mTable.died(mPrompt, new TargetId("engine-1", 1));
            assertThat(mTable.deaths(mPrompt)).isEqualTo(1);
            mTable.died(mPrompt, new TargetId("engine-1", 2));
            assertThat(mTable.deaths(mPrompt)).isEqualTo(2);
        }

        @Test
        void shouldSpreadEachDeathOnce() {
            mTable.died(mPrompt, new TargetId("engine-1", 1));
            mTable.died(mPrompt, new TargetId("engine-1", 1));
            assertThat(mRumors).hasSize(1);
        }

        @Test
        void shouldClearARequestThatCompletes() {
            mTable.died(mPrompt, new TargetId("engine-1", 1));
            mTable.acquitted(mPrompt);
            assertThat(mTable.deaths(mPrompt)).isEqualTo(0);
        }

        @Test
        void shouldExpireSuspicionsAfterAnHour() {
            mTable.died(mPrompt, new TargetId("engine-1", 1));
            mTime.advance(Duration.ofMinutes(61));
            assertThat(mTable.deaths(mPrompt)).isEqualTo(0);
        }
    }

    @Nested
    final class IsolatedRuns {
        @Test
        void shouldAllowOneRunOfARequestAtATime() {
            assertThat(mTable.beginTrial(mPrompt)).isTrue();
            assertThat(mTable.beginTrial(mPrompt)).isFalse();
            mTable.endTrial(mPrompt);
            assertThat(mTable.beginTrial(mPrompt)).isTrue();
        }

        @Test
        void shouldReportEnginesThatRunASuspect() {
            TargetId engine = new TargetId("engine-1", 1);
            mTable.suspectStarted(engine);
            assertThat(mTable.targetsWithSuspects()).containsExactly(engine);
            mTable.suspectEnded(engine);
            assertThat(mTable.targetsWithSuspects()).isEmpty();
        }
    }
}
