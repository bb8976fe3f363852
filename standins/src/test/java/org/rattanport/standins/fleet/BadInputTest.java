package org.rattanport.standins.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanport.connectors.http.HttpClientRequest;
import org.rattanport.kernel.environment.Stage;

/**
 * Checks that an instance refuses invalid requests with an error code and the verdict not run, and
 * that it still serves requests afterwards.
 */
final class BadInputTest {
    private static final String PROMPT =
            "{\"model\": \"assistant\", \"max_tokens\": 4,"
                    + " \"messages\": [{\"role\": \"user\", \"content\": \"why?\"}]}";

    private static Fleet sFleet;

    @BeforeAll
    static void start() {
        sFleet = Fleet.builder().instances(1).engines(1, profile()).start();
    }

    private static org.rattanport.standins.engine.EngineProfile profile() {
        return org.rattanport.standins.engine.EngineProfile.defaults(200);
    }

    @AfterAll
    static void close() {
        sFleet.close();
    }

    @AfterEach
    void shouldKeepServing() {
        assertThat(send(FleetDocument.accountKey(0), PROMPT, "10").status()).isEqualTo(200);
    }

    @Nested
    final class Requests {
        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                value = {
                    "not json | 400 | invalid_request",
                    "[1, 2] | 400 | invalid_request",
                    "{\"model\": 7} | 400 | invalid_request",
                    "{\"model\": \"nobody\", \"messages\":"
                            + " [{\"role\": \"user\", \"content\": \"x\"}]} | 404 | unknown_model",
                    "{\"model\": \"assistant\", \"max_tokens\": 99999, \"messages\":"
                            + " [{\"role\": \"user\", \"content\": \"x\"}]} | 400 | invalid_request"
                })
        void shouldBeRefusedAsNotRun(String body, int status, String code) {
            assertRefused(send(FleetDocument.accountKey(0), body, "10"), status, code);
        }

        @ParameterizedTest
        @CsvSource({"-5", "0", "1e9", "NaN", "Infinity", "soon"})
        void shouldBeRefusedForAnInvalidTimeLimit(String timeout) {
            assertRefused(
                    send(FleetDocument.accountKey(0), PROMPT, timeout), 400, "invalid_request");
        }

        @ParameterizedTest
        @CsvSource({"unknown-key", "''"})
        void shouldBeRefusedForAnUnknownKey(String key) {
            assertRefused(send(key, PROMPT, "10"), 401, "unauthenticated");
        }

        @Test
        void shouldBeRefusedOnceTheKeyIsRevoked() {
            String revoked = FleetDocument.accountKey(3);
            assertThat(send(revoked, PROMPT, "10").status()).isEqualTo(200);
            sFleet.putDocument(Stage.PRODUCTION, FleetDocument.withAccounts(3));
            assertRefused(send(revoked, PROMPT, "10"), 401, "unauthenticated");
            sFleet.putDocument(Stage.PRODUCTION, FleetDocument.withAccounts(4));
        }

        @Test
        void shouldBeRefusedForAPromptThatIsTooLong() {
            String text = "x".repeat(5_200_000);
            assertRefused(
                    send(FleetDocument.accountKey(0), PROMPT.replace("why?", text), "10"),
                    400,
                    "prompt_too_long");
        }

        @Test
        void shouldBeRefusedForABodyThatIsTooLarge() {
            String text = "x".repeat(13 * 1024 * 1024);
            assertRefused(
                    send(FleetDocument.accountKey(0), PROMPT.replace("why?", text), "10"),
                    413,
                    "body_too_large");
        }

        @Test
        void shouldBeRefusedOnAnUnknownPath() {
            ActionOutcome outcome = sFleet.client().send(request("/v1/nothing").get());
            assertRefused(outcome, 404, "not_found");
        }

        @Test
        void shouldBeRefusedForAnUnknownOperation() {
            ActionOutcome outcome =
                    sFleet.client()
                            .callService(
                                    sFleet.callerAddress(0),
                                    FleetDocument.accountKey(0),
                                    "dispatch/fly",
                                    "k",
                                    "{}");
            assertRefused(outcome, 404, "unknown_operation");
        }

        @Test
        void shouldBeRefusedForANonIdempotentCallWithoutAKey() {
            ActionOutcome outcome =
                    sFleet.client()
                            .callService(
                                    sFleet.callerAddress(0),
                                    FleetDocument.accountKey(0),
                                    "dispatch/book",
                                    "",
                                    "{}");
            assertRefused(outcome, 400, "idempotency_key_required");
        }

        @Test
        void shouldBeRefusedWithAForgedTicket() {
            HttpClientRequest request =
                    promptRequest(FleetDocument.accountKey(0), "10")
                            .header("Rattanport-Resume", "forged")
                            .post(PROMPT.getBytes(StandardCharsets.UTF_8));
            assertRefused(sFleet.client().send(request), 400, "invalid_request");
        }
    }

    @Nested
    final class Connections {
        @Test
        void shouldNotBlockTheInstanceWhenRequestsStayIncomplete() throws Exception {
            for (int i = 0; i < 30; i++) {
                Socket socket = connect();
                write(socket, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Le");
            }
        }

        @Test
        void shouldBeRefusedWithHeadersThatAreTooLarge() throws Exception {
            try (Socket socket = connect()) {
                write(
                        socket,
                        "GET /health HTTP/1.1\r\nHost: x\r\nX: " + "y".repeat(40_000) + "\r\n\r\n");
                assertThat(firstLine(socket)).startsWith("HTTP/1.1 4");
            }
        }

        @Test
        void shouldReleaseEngineMemoryWhenTheCallerDisconnects() {
            CallerClient.Prompt prompt =
                    new CallerClient.Prompt(
                            FleetDocument.accountKey(0),
                            FleetDocument.MODEL,
                            "leave midway",
                            30000,
                            60);
            sFleet.client().sendPrompt(sFleet.callerAddress(0), prompt, tokens -> tokens < 3);
            assertThat(
                            Fleet.await(
                                    Duration.ofSeconds(20),
                                    () -> sFleet.engines().getFirst().usedMemoryTokens() == 0))
                    .isTrue();
        }

        @Test
        void shouldEndAtTheDeadlineWhenTheCallerDoesNotRead() throws Exception {
            String body =
                    "{\"model\": \"assistant\", \"stream\": true, \"max_tokens\": 30000,"
                            + " \"messages\": [{\"role\": \"user\", \"content\": \"slow\"}]}";
            try (Socket socket = new Socket()) {
                socket.setReceiveBufferSize(1024);
                socket.connect(address());
                write(
                        socket,
                        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                                + FleetDocument.accountKey(0)
                                + "\r\nRattanport-Timeout-Seconds: 5\r\nContent-Length: "
                                + body.length()
                                + "\r\n\r\n"
                                + body);
                assertThat(
                                Fleet.await(
                                        Duration.ofSeconds(20),
                                        () -> sFleet.engines().getFirst().usedMemoryTokens() > 0))
                        .isTrue();
                assertThat(
                                Fleet.await(
                                        Duration.ofSeconds(20),
                                        () -> sFleet.engines().getFirst().usedMemoryTokens() == 0))
                        .isTrue();
            }
        }

        private InetSocketAddress address() {
            String address = sFleet.callerAddress(0);
            int colon = address.lastIndexOf(':');
            return new InetSocketAddress(
                    address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        }

        private Socket connect() throws Exception {
            Socket socket = new Socket();
            socket.connect(address());
            socket.setSoTimeout(10_000);
            return socket;
        }

        private void write(Socket socket, String text) throws Exception {
            OutputStream output = socket.getOutputStream();
            output.write(text.getBytes(StandardCharsets.US_ASCII));
            output.flush();
        }

        private String firstLine(Socket socket) throws Exception {
            InputStream input = socket.getInputStream();
            byte[] head = new byte[64];
            int read = input.read(head);
            return new String(head, 0, Math.max(0, read), StandardCharsets.US_ASCII);
        }
    }

    private static void assertRefused(ActionOutcome outcome, int status, String code) {
        assertThat(outcome.code()).isEqualTo(code);
        assertThat(outcome.status()).isEqualTo(status);
        assertThat(outcome.verdict()).isEqualTo("not_run");
    }

    private static ActionOutcome send(String key, String body, String timeout) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return sFleet.client().send(promptRequest(key, timeout).post(bytes));
    }

    private static HttpClientRequest.Builder promptRequest(String key, String timeout) {
        return request("/v1/chat/completions")
                .header("Authorization", "Bearer " + key)
                .header("Rattanport-Timeout-Seconds", timeout);
    }

    private static HttpClientRequest.Builder request(String path) {
        return HttpClientRequest.builder(sFleet.callerAddress(0), path);
    }
}
