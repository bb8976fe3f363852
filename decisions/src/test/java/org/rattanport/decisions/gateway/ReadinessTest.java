package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.discovery.ActiveRouting;
import org.rattanport.decisions.gateway.discovery.BackEndRegistry;
import org.rattanport.decisions.gateway.discovery.EvacuatedDataCentres;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.decisions.membership.RumorQueue;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.Evacuations;
import org.rattanport.kernel.gateway.StoreChange.Origin;
import org.rattanport.kernel.gateway.StorePosition;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.time.ManualTimeSource;

final class ReadinessTest {
    private final EventStreams mEvents = new EventStreams();
    private final ActiveRouting mRouting = new ActiveRouting(mEvents);
    private final BackEndRegistry mRegistry = TestFleet.registry(new ManualTimeSource());
    private final EvacuatedDataCentres mEvacuated =
            new EvacuatedDataCentres("a", change -> {}, new ManualTimeSource());
    private final AtomicBoolean mIsDraining = new AtomicBoolean();
    private final MemberTable mMembers =
            new MemberTable(
                    new Member(
                            new InstanceId("a", 1), "c:1", "p:1", "zone", MemberState.LEAVING, 0),
                    new RumorQueue(),
                    mEvents);
    private final Readiness mReadiness =
            new Readiness(mRouting, mRegistry, mEvacuated, mMembers, mIsDraining::get);

    private void initialize() {
        mRouting.activateIfNewer(TestFleet.document(1));
        mRegistry.replace(List.of());
        mEvacuated.record(new Evacuations(new StorePosition(1, 0), Set.of()), Origin.STORE);
        mReadiness.update();
    }

    @Nested
    final class Starting {
        @Test
        void shouldNotAnnounceBeforeDocumentAndRegistryAreRead() {
            mReadiness.update();
            assertThat(mMembers.aliveMembers()).isEmpty();
            mRouting.activateIfNewer(TestFleet.document(1));
            mReadiness.update();
            assertThat(mReadiness.isReady()).isFalse();
            assertThat(mMembers.aliveMembers()).isEmpty();
        }

        /** An instance that starts during an evacuation would have sent requests there. */
        @Test
        void shouldNotAnnounceBeforeTheEvacuationsAreRead() {
            mRouting.activateIfNewer(TestFleet.document(1));
            mRegistry.replace(List.of());
            mReadiness.update();
            assertThat(mReadiness.isReady()).isFalse();
            assertThat(mMembers.aliveMembers()).isEmpty();
        }

        @Test
        void shouldAnnounceOnceAllAreRead() {
            initialize();
            assertThat(mReadiness.isReady()).isTrue();
            assertThat(mMembers.aliveMembers()).hasSize(1);
        }
    }

    @Nested
    final class Stopping {
        @Test
        void shouldNotAnnounceWhileDraining() {
            mIsDraining.set(true);
            initialize();
            assertThat(mReadiness.isReady()).isFalse();
            assertThat(mMembers.aliveMembers()).isEmpty();
        }
    }
}
