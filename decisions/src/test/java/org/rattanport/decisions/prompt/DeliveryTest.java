package org.rattanport.decisions.prompt;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.request.AnswerChunk;
import org.rattanport.kernel.request.AnswerSink;

final class DeliveryTest {
    private final StringBuilder mReceived = new StringBuilder();
    private final AnswerSink mSink =
            new AnswerSink() {
                @Override
                public void onAttemptStarted(TargetId target, int attempt) {}

                @Override
                public void accept(AnswerChunk chunk) {
                    mReceived.append(chunk.text());
                }
            };

    @Nested
    final class AcrossAttempts {
        private final Delivery mDelivery = new Delivery(mSink, 0);

        @Test
        void shouldSkipTokensThatTheCallerHas() {
            mDelivery.accept(chunk(0, "a", false));
            mDelivery.accept(chunk(1, "b", false));
            mDelivery.accept(chunk(0, "a", false));
            mDelivery.accept(chunk(1, "b", false));
            mDelivery.accept(chunk(2, "c", true));
            assertThat(mReceived.toString()).isEqualTo("abc");
            assertThat(mDelivery.isComplete()).isTrue();
        }

        @Test
        void shouldRejectAGap() {
            mDelivery.accept(chunk(0, "a", false));
            RattanportException error =
                    assertThrows(
                            RattanportException.class, () -> mDelivery.accept(chunk(2, "c", true)));
            assertThat(error.code()).isEqualTo(ErrorCode.ANSWER_CUT);
            assertThat(mDelivery.isComplete()).isFalse();
        }

        @Test
        void shouldProvideTheContinuationForTheNextAttempt() {
            mDelivery.accept(chunk(0, "a", false));
            mDelivery.accept(chunk(1, "b", false));
            assertThat(mDelivery.continuation().position()).isEqualTo(2);
            assertThat(mDelivery.continuation().text()).isEqualTo("ab");
        }
    }

    @Nested
    final class Resumed {
        @Test
        void shouldStartAtTheResumePosition() {
            Delivery delivery = new Delivery(mSink, 2);
            delivery.accept(chunk(0, "a", false));
            delivery.accept(chunk(1, "b", false));
            delivery.accept(chunk(2, "c", true));
            assertThat(mReceived.toString()).isEqualTo("c");
        }

        @Test
        void shouldLeaveTheContinuationTextEmpty() {
            Delivery delivery = new Delivery(mSink, 2);
            delivery.accept(chunk(2, "c", false));
            assertThat(delivery.continuation().text()).isEmpty();
            assertThat(delivery.continuation().position()).isEqualTo(3);
        }
    }

    private static AnswerChunk chunk(int position, String text, boolean isLast) {
        return new AnswerChunk(position, 1, text, isLast, isLast ? "stop" : "");
    }
}
