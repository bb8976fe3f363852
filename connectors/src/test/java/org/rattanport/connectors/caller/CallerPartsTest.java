package org.rattanport.connectors.caller;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;

final class CallerPartsTest {
    @Nested
    final class Bodies {
        @Test
        void shouldJoinMessagesAndParts() {
            PromptBody body =
                    read(
                            "{\"model\": \"m\", \"stream\": true, \"messages\": ["
                                    + "{\"role\": \"system\", \"content\": \"a\"},"
                                    + "{\"role\": \"user\", \"content\": ["
                                    + "{\"type\": \"text\", \"text\": \"b\"},"
                                    + "{\"type\": \"text\", \"text\": \"c\"}]}]}");
            assertThat(body.prompt()).isEqualTo("system: a\nuser: bc");
            assertThat(body.isStreamed()).isTrue();
        }

        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                value = {
                    "{} | model",
                    "{\"model\": 5} | model",
                    "{\"model\": \"m\"} | messages",
                    "{\"model\": \"m\", \"messages\": []} | messages",
                    "{\"model\": \"m\", \"messages\": [{\"role\": \"user\"}]} | messages",
                    "{\"model\": \"m\", \"messages\": [{\"role\": \"u\", \"content\": \"x\"}],"
                            + " \"max_tokens\": -1} | max_tokens",
                    "{\"model\": \"m\", \"messages\": [{\"role\": \"u\", \"content\": \"x\"}],"
                            + " \"max_completion_tokens\": \"9\"} | max_completion_tokens",
                    "{\"model\": \"m\", \"messages\": [{\"role\": \"u\", \"content\": \"x\"}],"
                            + " \"stream\": \"yes\"} | stream"
                })
        void shouldNameTheFaultyField(String text, String field) {
            RattanportException error = assertThrows(RattanportException.class, () -> read(text));
            assertThat(error.code()).isEqualTo(ErrorCode.INVALID_REQUEST);
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(error.field()).hasValue(field);
        }

        private PromptBody read(String text) {
            return PromptBody.read(Json.parseObject(text.getBytes(StandardCharsets.UTF_8)));
        }
    }

    @Nested
    final class Tickets {
        private final ResumeTickets mTickets = new ResumeTickets("secret-of-the-fleet");
        private final ResumeTickets.Ticket mTicket =
                new ResumeTickets.Ticket("req-1", "print", "engine", 3, 2);

        @Test
        void shouldOpenAtAnotherInstance() {
            String sealed = mTickets.seal(mTicket);
            assertThat(new ResumeTickets("secret-of-the-fleet").open(sealed)).isEqualTo(mTicket);
        }

        @Test
        void shouldRefuseOtherFleetsAndChangedTickets() {
            String sealed = mTickets.seal(mTicket);
            assertInvalid(new ResumeTickets("another-secret"), sealed);
            assertInvalid(mTickets, sealed.substring(0, sealed.length() - 4) + "AAAA");
            assertInvalid(mTickets, "not base64 !");
            assertInvalid(mTickets, "");
        }

        private void assertInvalid(ResumeTickets tickets, String text) {
            RattanportException error =
                    assertThrows(RattanportException.class, () -> tickets.open(text));
            assertThat(error.code()).isEqualTo(ErrorCode.INVALID_REQUEST);
        }
    }
}
