package org.rattanport.decisions.memory;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanport.decisions.FakeEngines;
import org.rattanport.decisions.FakeMembership;
import org.rattanport.decisions.TestDocuments;
import org.rattanport.decisions.target.TargetDirectory;
import org.rattanport.decisions.target.TargetHealth;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetKind;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.target.MemoryAllocation;
import org.rattanport.kernel.time.ManualTimeSource;

final class MemoryReclaimerTest {
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final FakeEngines mEngines = new FakeEngines();
    private final FakeMembership mMembership =
            new FakeMembership().add("self", "dc", MemberState.ALIVE);

    @Nested
    final class Sweeping {
        /** Columns: owner, its incarnation, age in seconds, key in use, expected release. */
        @ParameterizedTest
        @CsvSource({
            "self, 1, 60, true, false",
            "self, 1, 60, false, true",
            "self, 1, 1, false, false",
            "leaving, 1, 600, false, false",
            "ended, 1, 60, false, true",
            "ended, 1, 5, false, false",
            "stranger, 1, 60, false, true",
            "stranger, 1, 15, false, false",
            "leaving, 7, 60, false, true"
        })
        void shouldReleaseOnlyOrphanedMemory(
                String owner, long incarnation, double age, boolean isInUse, boolean isReleased) {
            mMembership.add("leaving", "dc", MemberState.LEAVING);
            mMembership.add("ended", "dc", MemberState.ALIVE);
            mMembership.markEnded(new InstanceId("ended", 1));
            mEngines.mAllocations.put(
                    "engine",
                    new ArrayList<>(
                            List.of(
                                    new MemoryAllocation(
                                            "key", new InstanceId(owner, incarnation), 100, age))));
            new MemoryReclaimer(
                            directory(),
                            mEngines,
                            mMembership,
                            () -> isInUse ? Set.of("key") : Set.of(),
                            mTime)
                    .sweep();
            assertThat(mEngines.mReleased.contains("key")).isEqualTo(isReleased);
        }
    }

    private TargetDirectory directory() {
        TargetDirectory directory =
                new TargetDirectory(new TargetHealth(mTime), new EventStreams(), rumor -> {});
        directory.updateFromList(
                List.of(
                        new Target(
                                new TargetId("engine", 1),
                                TargetKind.ENGINE,
                                TestDocuments.MODEL,
                                "127.0.0.1:1",
                                "dc",
                                false)));
        return directory;
    }
}
