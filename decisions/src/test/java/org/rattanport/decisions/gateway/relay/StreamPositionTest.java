package org.rattanport.decisions.gateway.relay;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.relay.EventStreamParser.Event;
import org.rattanport.kernel.error.RattanportException;

final class StreamPositionTest {
    private final StreamPosition mPosition = new StreamPosition(Optional.empty());

    private static Event event(String text) {
        return new EventStreamParser()
                .feed((text + "\n\n").getBytes(StandardCharsets.UTF_8))
                .getFirst();
    }

    private boolean advance(long number) {
        return mPosition.advance(event("id: " + number + "\ndata: x"));
    }

    private void assertRejected(long number) {
        assertThrows(RattanportException.class, () -> advance(number));
    }

    /** Sends the numbers in the first response; each reaches the caller. */
    private void sendFirst(long... numbers) {
        mPosition.beginResponse();
        for (long number : numbers) {
            assertThat(advance(number)).isTrue();
        }
    }

    @Nested
    final class FirstResponse {
        /** Events after one whose number was too large were taken for duplicates. */
        @Test
        void shouldPassOnEachEventWhateverItsNumber() {
            sendFirst(1, 2, 93, 4, 5, 5, 1);
        }

        @Test
        void shouldBeResumableAfterNumbersInOrder() {
            sendFirst(1, 2, 3);
            assertThat(mPosition.isCertain()).isTrue();
            assertThat(mPosition.lastId()).hasValue("3");
        }

        @Test
        void shouldBeResumableBeforeItsFirstEvent() {
            StreamPosition resumed = new StreamPosition(Optional.of("12"));
            resumed.beginResponse();
            resumed.advance(event(": keep-alive"));
            assertThat(resumed.isCertain()).isTrue();
            assertThat(resumed.lastId()).hasValue("12");
        }

        @Test
        void shouldNotBeResumableAfterANumberOutOfOrder() {
            sendFirst(1, 2, 93, 4, 5);
            assertThat(mPosition.isCertain()).isFalse();
        }

        /** The stream was resumed after the wrong number, and the events up to it were missing. */
        @Test
        void shouldNotBeResumableRightAfterAGap() {
            sendFirst(1, 2, 93);
            assertThat(mPosition.isCertain()).isFalse();
        }

        @Test
        void shouldNotBeResumableAfterAFirstNumberThatNothingConfirms() {
            sendFirst(9);
            assertThat(mPosition.isCertain()).isFalse();
        }

        @Test
        void shouldBeResumableWhenLaterEventsConfirmTheNumbering() {
            sendFirst(57);
            assertThat(advance(58)).isTrue();
            assertThat(mPosition.isCertain()).isTrue();
        }

        @Test
        void shouldBeResumableWhenTheNumberingHasGaps() {
            sendFirst(10, 20, 30);
            assertThat(mPosition.isCertain()).isTrue();
        }

        /** The event without a number came again after the stream was resumed before it. */
        @Test
        void shouldNotBeResumableAfterAnEventWithoutANumber() {
            sendFirst(1, 2);
            assertThat(mPosition.advance(event("data: x"))).isTrue();
            assertThat(mPosition.isCertain()).isFalse();
        }

        @Test
        void shouldStayResumableAfterAComment() {
            sendFirst(1, 2);
            assertThat(mPosition.advance(event(": keep-alive"))).isTrue();
            assertThat(mPosition.isCertain()).isTrue();
        }
    }

    @Nested
    final class ResumingResponse {
        @Test
        void shouldSkipRepeatedEventsOnlyUntilTheFirstNewOne() {
            sendFirst(1, 2, 3);
            mPosition.beginResponse();
            assertThat(advance(2)).isFalse();
            assertThat(advance(3)).isFalse();
            assertThat(advance(4)).isTrue();
            assertThat(advance(2)).isTrue();
            assertThat(mPosition.isCertain()).isFalse();
        }

        @Test
        void shouldBeRejectedIfEventsAreMissing() {
            sendFirst(1, 2, 3);
            mPosition.beginResponse();
            assertRejected(5);
        }

        @Test
        void shouldBeRejectedIfItsRepeatedEventsAreOutOfOrder() {
            sendFirst(1, 2, 3);
            mPosition.beginResponse();
            assertThat(advance(2)).isFalse();
            assertRejected(1);
        }

        /** A wrong number that is also the next one hid that events came again. */
        @Test
        void shouldBeRejectedIfANewEventDoesNotFollowTheRepeatedOnes() {
            sendFirst(1, 2, 3);
            mPosition.beginResponse();
            assertThat(advance(1)).isFalse();
            assertRejected(4);
        }

        @Test
        void shouldBeRejectedIfItsFirstEventHasNoNumber() {
            sendFirst(1, 2, 3);
            mPosition.beginResponse();
            assertThrows(
                    RattanportException.class, () -> mPosition.advance(event("id: 4x\ndata: x")));
        }

        @Test
        void shouldBeRejectedIfItEndsWithinRepeatedEvents() {
            sendFirst(1, 2, 3);
            mPosition.beginResponse();
            assertThat(advance(1)).isFalse();
            assertThrows(RattanportException.class, mPosition::endResponse);
        }

        @Test
        void shouldContinueANumberingWithGaps() {
            sendFirst(10, 20, 30);
            mPosition.beginResponse();
            assertThat(advance(40)).isTrue();
            mPosition.endResponse();
        }
    }
}
