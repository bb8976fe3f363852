package org.rattanport.standins.fleet;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.connectors.http.HttpClientRequest;
import org.rattanport.standins.engine.DeterministicAnswer;

/** Sends prompts and service calls through entry instances to the stand-ins over HTTP. */
final class FleetTest {
    private static Fleet sFleet;

    @BeforeAll
    static void start() {
        sFleet = Fleet.builder().start();
    }

    @AfterAll
    static void close() {
        sFleet.close();
    }

    @Nested
    final class Prompts {
        @Test
        void shouldReceiveTheCompleteAnswer() {
            String text = "user: why does the pump stop?";
            PromptOutcome outcome =
                    sFleet.client()
                            .sendPrompt(
                                    sFleet.callerAddress(0),
                                    new CallerClient.Prompt(
                                            FleetDocument.accountKey(0),
                                            FleetDocument.MODEL,
                                            text.substring("user: ".length()),
                                            40,
                                            20));
            assertThat(outcome.code()).isEmpty();
            assertThat(outcome.isComplete()).isTrue();
            assertThat(outcome.answerText()).isEqualTo(DeterministicAnswer.text(text, 40));
        }
    }

    @Nested
    final class Bookings {
        @Test
        void shouldRunOnceAndReplayTheResponse() {
            ActionOutcome first = book("booking-1");
            ActionOutcome second = book("booking-1");
            assertThat(first.status()).isEqualTo(200);
            assertThat(second.body()).isEqualTo(first.body());
            assertThat(sFleet.runCounter().runCount("booking-1")).isEqualTo(1);
        }

        @Test
        void shouldReturnTheOutcomeFromAnyInstance() {
            book("booking-2");
            ActionOutcome found = outcome("booking-2");
            assertThat(found.status()).isEqualTo(200);
            assertThat(found.body()).contains("\"verdict\":\"ran\"");
            assertThat(outcome("never-sent").code()).isEqualTo("not_found");
            assertThat(sFleet.runCounter().runCount("booking-2")).isEqualTo(1);
        }

        private ActionOutcome outcome(String key) {
            return sFleet.client()
                    .send(
                            HttpClientRequest.builder(
                                            sFleet.callerAddress(2), "/v1/idempotency-keys/" + key)
                                    .header(
                                            "Authorization",
                                            "Bearer " + FleetDocument.accountKey(0))
                                    .get());
        }

        private ActionOutcome book(String key) {
            return sFleet.client()
                    .callService(
                            sFleet.callerAddress(1),
                            FleetDocument.accountKey(0),
                            FleetDocument.SERVICE + "/book",
                            key,
                            "{\"pump\": 7}");
        }
    }
}
