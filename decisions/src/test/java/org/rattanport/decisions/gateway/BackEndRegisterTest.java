package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.time.ManualTimeSource;

final class BackEndRegisterTest {
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final BackEndRegister mRegister = new BackEndRegister(mTime);
    private final BackEnd mOne = TestFleet.backEnd("one", TestFleet.CALLS, false);
    private final BackEnd mTwo = TestFleet.backEnd("two", TestFleet.CALLS, false);

    @BeforeEach
    void fill() {
        mRegister.replace(List.of(mOne, mTwo));
    }

    @Nested
    final class Leaving {
        @Test
        void shouldTakeOutWhoIsLeavingOrGone() {
            mRegister.apply(List.of(TestFleet.backEnd("one", TestFleet.CALLS, true)), List.of());
            assertThat(mRegister.of(TestFleet.CALLS)).containsExactly(mTwo);
            mRegister.apply(List.of(), List.of("two"));
            assertThat(mRegister.of(TestFleet.CALLS)).isEmpty();
        }

        @Test
        void shouldTakeOutWhatAFullReadDoesNotList() {
            mRegister.replace(List.of(mTwo));
            assertThat(mRegister.of(TestFleet.CALLS)).containsExactly(mTwo);
        }

        @Test
        void shouldTakeOutABackEndWhoseAddressAnotherOneHas() {
            mRegister.heardOther(mOne);
            assertThat(mRegister.of(TestFleet.CALLS)).containsExactly(mTwo);
        }

        @Test
        void shouldKeepANewStartUnderTheSameId() {
            BackEnd again =
                    new BackEnd("one", 2, TestFleet.CALLS, mOne.address(), "zone", 8, false);
            mRegister.apply(List.of(again), List.of());
            mRegister.heardOther(mOne);
            assertThat(mRegister.of(TestFleet.CALLS)).containsExactly(again, mTwo);
        }
    }

    @Nested
    final class AfterAnOutage {
        @Test
        void shouldKeepForAWhileWhatMayOnlyHaveLapsed() {
            mRegister.storeReturned();
            mRegister.replace(List.of(mTwo));
            assertThat(mRegister.of(TestFleet.CALLS)).containsExactly(mOne, mTwo);
            mTime.advance(Duration.ofSeconds(3));
            assertThat(mRegister.of(TestFleet.CALLS)).containsExactly(mTwo);
        }

        @Test
        void shouldKeepWhatRegistersAgain() {
            mRegister.storeReturned();
            mRegister.replace(List.of(mTwo));
            mRegister.apply(List.of(mOne), List.of());
            mTime.advance(Duration.ofSeconds(3));
            assertThat(mRegister.of(TestFleet.CALLS)).containsExactly(mOne, mTwo);
        }

        @Test
        void shouldNotKeepWhatWasLeavingBefore() {
            mRegister.apply(List.of(TestFleet.backEnd("one", TestFleet.CALLS, true)), List.of());
            mRegister.storeReturned();
            mRegister.replace(List.of(mTwo));
            assertThat(mRegister.find("one")).isEmpty();
        }
    }
}
