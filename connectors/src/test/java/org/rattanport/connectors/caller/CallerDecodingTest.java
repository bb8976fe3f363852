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

final class CallerDecodingTest {
    @Nested
    final class PromptBodies {
        @Test
        void shouldJoinMessagesAndParts() {
            PromptBody body =
                    parse(
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
        void shouldNameTheInvalidField(String json, String field) {
            RattanportException error = assertThrows(RattanportException.class, () -> parse(json));
            assertThat(error.code()).isEqualTo(ErrorCode.INVALID_REQUEST);
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(error.field()).hasValue(field);
        }

        private PromptBody parse(String json) {
            return PromptBody.parse(Json.parseObject(json.getBytes(StandardCharsets.UTF_8)));
        }
    }

    @Nested
    final class ResumeTicketEncryption {
        private final ResumeTickets mTickets = new ResumeTickets("secret-of-the-fleet");
        private final ResumeTickets.Ticket mTicket =
                new ResumeTickets.Ticket("req-1", "print", "engine", 3, 2);

        @Test
        void shouldDecryptAtAnotherInstance() {
            String encrypted = mTickets.encrypt(mTicket);
            assertThat(new ResumeTickets("secret-of-the-fleet").decrypt(encrypted))
                    .isEqualTo(mTicket);
        }

        @Test
        void shouldRejectTicketsOfOtherFleetsAndModifiedTickets() {
            String encrypted = mTickets.encrypt(mTicket);
            assertInvalid(new ResumeTickets("another-secret"), encrypted);
            assertInvalid(mTickets, encrypted.substring(0, encrypted.length() - 4) + "AAAA");
            assertInvalid(mTickets, "not base64 !");
            assertInvalid(mTickets, "");
        }

        private void assertInvalid(ResumeTickets tickets, String encoded) {
            RattanportException error =
                    assertThrows(RattanportException.class, () -> tickets.decrypt(encoded));
            assertThat(error.code()).isEqualTo(ErrorCode.INVALID_REQUEST);
        }
    }
}
