package org.rattanport.decisions.order;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.FakeEngines;
import org.rattanport.decisions.FakeMembership;
import org.rattanport.decisions.FakeRowCodec;
import org.rattanport.decisions.FakeTable;
import org.rattanport.decisions.TestDocuments;
import org.rattanport.decisions.target.TargetDirectory;
import org.rattanport.decisions.target.TargetHealth;
import org.rattanport.kernel.audit.AuditEntry;
import org.rattanport.kernel.audit.AuditTrail;
import org.rattanport.kernel.environment.ActiveEnvironment;
import org.rattanport.kernel.environment.ActiveEnvironments;
import org.rattanport.kernel.environment.DocumentVersion;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetKind;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.target.EngineState;
import org.rattanport.kernel.target.ModelAssignment;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.ManualTimeSource;

final class ModelControllerTest {
    private static final int ENGINES = 4;
    private static final String DESIRED_VERSION = "2";

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final FakeEngines mEngines = new FakeEngines();
    private final FakeTable mTable = new FakeTable(1);
    private final FakeRowCodec mCodec = new FakeRowCodec();
    private final List<AuditEntry> mAudit = new ArrayList<>();

    ModelControllerTest() {
        IntStream.range(0, ENGINES).forEach(i -> setServing(i, "1", false));
    }

    @Nested
    final class RollingUpdate {
        @Test
        void shouldLoadOneEngineAtATime() {
            ModelController controller = newController("a");
            controller.reconcile();
            controller.reconcile();
            assertThat(mEngines.mAssignments).hasSize(1);
            finishLoads();
            controller.reconcile();
            assertThat(mEngines.mAssignments).hasSize(2);
        }

        @Test
        void shouldBringEveryEngineToTheDesiredVersion() {
            ModelController controller = newController("a");
            for (int i = 0; i < 10; i++) {
                controller.reconcile();
                finishLoads();
            }
            assertThat(mEngines.mAssignments).hasSize(ENGINES);
            mEngines.mStates
                    .values()
                    .forEach(state -> assertThat(state.version()).isEqualTo(DESIRED_VERSION));
            assertThat(mAudit).hasSize(ENGINES);
        }
    }

    @Nested
    final class Leases {
        @Test
        void shouldLetOnlyTheLeaseHolderGiveOrders() {
            newController("a").reconcile();
            ModelController second = newController("b");
            second.reconcile();
            second.reconcile();
            assertThat(mEngines.mAssignments).hasSize(1);
        }

        @Test
        void shouldRaiseTheFencingNumberOnTakeover() {
            newController("a").reconcile();
            finishLoads();
            ModelController second = newController("b");
            for (int i = 0; i < 8; i++) {
                second.reconcile();
                finishLoads();
            }
            assertThat(
                            mEngines.mAssignments.stream()
                                    .map(ModelAssignment::fencingNumber)
                                    .distinct())
                    .containsExactly(1L, 2L)
                    .inOrder();
        }

        @Test
        void shouldNotTakeOverWhileTheHolderRenews() {
            ModelController first = newController("a");
            ModelController second = newController("b");
            for (int i = 0; i < 20; i++) {
                first.reconcile();
                second.reconcile();
                finishLoads();
            }
            mEngines.mAssignments.forEach(each -> assertThat(each.fencingNumber()).isEqualTo(1));
        }
    }

    private void setServing(int engine, String version, boolean isLoading) {
        mEngines.mStates.put(
                "engine-" + engine, new EngineState(TestDocuments.MODEL, version, isLoading, 0));
    }

    /** Completes all loads in progress. */
    private void finishLoads() {
        mEngines.mStates.replaceAll(
                (name, state) ->
                        new EngineState(
                                state.model(), state.version(), false, state.fencingNumber()));
    }

    private ModelController newController(String instance) {
        TargetDirectory directory =
                new TargetDirectory(new TargetHealth(mTime), new EventStreams(), rumor -> {});
        directory.updateFromList(IntStream.range(0, ENGINES).mapToObj(this::engine).toList());
        return new ModelController(
                new FixedEnvironments(),
                directory,
                mEngines,
                mTable,
                mCodec,
                new ListAudit(),
                new FakeMembership().add(instance, "dc", MemberState.ALIVE),
                mTime);
    }

    private Target engine(int index) {
        return new Target(
                new TargetId("engine-" + index, 1),
                TargetKind.ENGINE,
                TestDocuments.MODEL,
                "127.0.0.1:1",
                "dc",
                false);
    }

    private final class ListAudit implements AuditTrail {
        @Override
        public void record(AuditEntry entry) {
            mAudit.add(entry);
        }

        @Override
        public List<AuditEntry> latest(int limit, Deadline deadline) {
            return mAudit;
        }
    }

    private static final class FixedEnvironments implements ActiveEnvironments {
        @Override
        public Optional<ActiveEnvironment> current(Stage stage) {
            return Optional.of(TestDocuments.active());
        }

        @Override
        public boolean activateIfNewer(DocumentVersion version) {
            return false;
        }

        @Override
        public io.reactivex.rxjava3.core.Flowable<ActiveEnvironment> changes() {
            return io.reactivex.rxjava3.core.Flowable.never();
        }
    }
}
