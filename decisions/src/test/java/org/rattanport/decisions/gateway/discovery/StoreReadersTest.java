package org.rattanport.decisions.gateway.discovery;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.decisions.membership.RumorQueue;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;

/** Which instances read the store for the others. */
final class StoreReadersTest {
    private static final List<String> DATA_CENTRES = List.of("a", "b", "c");
    private static final int MEMBERS = 30;

    private final List<MemberTable> mTables = new ArrayList<>();

    StoreReadersTest() {
        for (int i = 0; i < MEMBERS; i++) {
            MemberTable table = new MemberTable(member(i), new RumorQueue(), new EventStreams());
            for (int j = 0; j < MEMBERS; j++) {
                table.merge(member(j));
            }
            mTables.add(table);
        }
    }

    private static Member member(int index) {
        return new Member(
                new InstanceId("instance-" + index, 1),
                "c-" + index,
                "p-" + index,
                DATA_CENTRES.get(index % DATA_CENTRES.size()),
                MemberState.ALIVE,
                0);
    }

    private List<MemberTable> readers() {
        return mTables.stream().filter(each -> new StoreReaders(each).isReader()).toList();
    }

    @Nested
    final class AgreeingMembers {
        @Test
        void shouldChooseTwoReadersInEachDataCentre() {
            assertThat(readers().stream().map(each -> each.self().dataCentre()))
                    .containsExactly("a", "a", "b", "b", "c", "c");
        }

        @Test
        void shouldNameTheReadersOfTheOwnDataCentreFirst() {
            for (MemberTable table : mTables) {
                List<Member> others = new StoreReaders(table).others();
                boolean isReader = new StoreReaders(table).isReader();
                int local = isReader ? 1 : 2;
                assertThat(others).hasSize(local + 4);
                assertThat(
                                others.stream()
                                        .map(each -> each.dataCentre())
                                        .map(table.self().dataCentre()::equals))
                        .containsExactlyElementsIn(
                                IntStream.range(0, local + 4).mapToObj(i -> i < local).toList())
                        .inOrder();
            }
        }
    }

    @Nested
    final class UnequalMachines {
        @Test
        void shouldPreferTheLargerOnes() {
            MemberTable table = new MemberTable(member(0), new RumorQueue(), new EventStreams());
            int larger = 0;
            for (int data = 0; data < 200; data++) {
                table = new MemberTable(member(0), new RumorQueue(), new EventStreams());
                table.merge(sized("large-" + data, "x" + data, 1_500));
                table.merge(sized("small-" + data, "x" + data, 360));
                table.merge(sized("other-small-" + data, "x" + data, 360));
                larger +=
                        new StoreReaders(table)
                                        .others().stream()
                                                .anyMatch(
                                                        each ->
                                                                each.id()
                                                                        .name()
                                                                        .startsWith("large"))
                                ? 1
                                : 0;
            }
            assertThat(larger).isAtLeast(170);
        }

        private Member sized(String name, String dataCentre, int capacity) {
            return new Member(
                    new InstanceId(name, 1), "c", "p", dataCentre, MemberState.ALIVE, 0, capacity);
        }
    }

    @Nested
    final class FailedReader {
        @Test
        void shouldBeReplacedInTheViewOfEachInstance() {
            InstanceId failed = readers().getFirst().self().id();
            mTables.forEach(each -> each.markState(failed, MemberState.SUSPECT));
            for (MemberTable table : mTables) {
                if (!table.self().id().equals(failed)) {
                    assertThat(new StoreReaders(table).others().stream().map(Member::id))
                            .doesNotContain(failed);
                }
            }
        }
    }
}
