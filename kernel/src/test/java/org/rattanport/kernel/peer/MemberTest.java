package org.rattanport.kernel.peer;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanport.kernel.model.InstanceId;

final class MemberTest {
    @Nested
    final class Supersedes {
        /** Incarnation, state number and state of the received entry, then of the known entry. */
        @ParameterizedTest
        @CsvSource({
            "2, 0, ALIVE, 1, 9, DEAD, true",
            "1, 9, DEAD, 2, 0, ALIVE, false",
            "1, 1, ALIVE, 1, 0, DEAD, true",
            "1, 0, SUSPECT, 1, 0, ALIVE, true",
            "1, 0, ALIVE, 1, 0, SUSPECT, false",
            "1, 0, DEAD, 1, 1, ALIVE, false",
            "1, 1, LEAVING, 1, 0, SUSPECT, true",
            "1, 0, ALIVE, 1, 0, ALIVE, false"
        })
        void shouldCompareIncarnationThenStateNumberThenState(
                long incarnation,
                long number,
                MemberState state,
                long knownIncarnation,
                long knownNumber,
                MemberState knownState,
                boolean isSuperseded) {
            Member received = member(incarnation, number, state);
            Member known = member(knownIncarnation, knownNumber, knownState);
            assertThat(received.supersedes(known)).isEqualTo(isSuperseded);
        }

        private Member member(long incarnation, long number, MemberState state) {
            return new Member(
                    new InstanceId("a", incarnation), "caller", "peer", "dc", state, number);
        }
    }
}
