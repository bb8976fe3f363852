package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.ScriptedBackEnds.Reaction;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.AttemptFailure;

/** Engines that fall silent inside a stream, and whether another one takes the stream over. */
final class ForwardingSilenceTest extends ForwardingHarness {
    @Nested
    final class SilentEngines {
        private void serveStallingStream() {
            serveStallingStream(Reaction.STALL);
        }

        private void serveStallingStream(Reaction reaction) {
            serve("/stream/a", reaction);
            assertThat(mAttempts).hasSize(1);
            assertThat(mCaller.mIsAborted).isFalse();
            assertThat(mCaller.mIsFinished).isTrue();
            assertThat(mCaller.mBody.toString()).contains("id: 2");
        }

        /** The stream was cut although its engine went on, because no retry was left. */
        @Test
        void shouldNotBeGivenUpWithoutARetry() {
            mSlack = 0;
            serveStallingStream();
        }

        /** The stream was cut although its engine went on, because there was no other engine. */
        @Test
        void shouldNotBeGivenUpWithoutAnotherEngine() {
            mRegistry.apply(List.of(), List.of("engine-1", "engine-2", "engine-3"));
            serveStallingStream();
        }

        /** A stream that no other engine could continue was cut although its engine went on. */
        @Test
        void shouldNotBeGivenUpAfterAnIdThatIsNotTheNextOne() {
            serveStallingStream(Reaction.STALL_AFTER_WRONG_ID);
        }

        /** Streams that fell silent together were all given up with one retry left. */
        @Test
        void shouldNotBeGivenUpForARetryThatAnotherStreamTakes() {
            mSlack = 2;
            GatewayService service = service();
            mBackEnds
                    .reactions()
                    .addAll(
                            List.of(
                                    Reaction.STALL,
                                    Reaction.LOSE_RESPONSE,
                                    Reaction.STREAM,
                                    Reaction.STREAM));
            AtomicBoolean isFirst = new AtomicBoolean(true);
            mEvents.stream(AttemptFailure.class)
                    .filter(failure -> isFirst.getAndSet(false))
                    .subscribe(
                            failure ->
                                    assertThrows(
                                            RattanportException.class,
                                            () ->
                                                    service.serve(
                                                            TestFleet.request("/stream/b", 0),
                                                            new FakeCaller())));
            service.serve(TestFleet.request("/stream/a", 0), mCaller);
            assertThat(mCaller.mIsAborted).isFalse();
            assertThat(mCaller.mIsFinished).isTrue();
        }

        /** The wait for the first event after a head did not ask whether another may take over. */
        @Test
        void shouldNotBeGivenUpAfterTheHeadWithoutARetry() {
            mSlack = 0;
            serve("/stream/a", Reaction.STALL_AFTER_HEAD);
            assertThat(mAttempts).hasSize(1);
            assertThat(mCaller.mIsFinished).isTrue();
            assertThat(mCaller.mBody.toString()).isEqualTo("id: 1\ndata: x\n\n");
        }
    }
}
