package org.rattanport.connectors.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.SystemTimeSource;

/**
 * Responses that the client of engines, services and the store must not take for whole or valid
 * ones. Statuses below 200 were skipped until the deadline, a reset behind an orderly end was not
 * seen, and the bytes of headers were not checked.
 */
final class InvalidResponseTest {
    private static final int SMALL_RECEIVE_BUFFER = 16_384;
    private static final int READ_MILLIS = 150;
    private static final String BODY = "{\"a\":1}";
    private static final String HEADERS = "\r\nContent-Length: 7\r\n\r\n";

    private final SystemTimeSource mTime = new SystemTimeSource();
    private final HttpTransport mTransport = new HttpTransport();
    private final HttpClient mClient = HttpClient.withConnectionPool(mTransport, mTime);

    @AfterEach
    void close() {
        mClient.close();
        mTransport.close();
    }

    /** Responds to one connection. */
    private interface Script {
        void respond(Socket socket) throws IOException, InterruptedException;
    }

    private static ServerSocket serve(Script script) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReceiveBufferSize(SMALL_RECEIVE_BUFFER);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        Tasks.start("server", () -> acceptAll(server, script));
        return server;
    }

    private static void acceptAll(ServerSocket server, Script script) {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                script.respond(socket);
            } catch (IOException e) {
                // The client or the test closed the connection.
            } catch (InterruptedException e) {
                throw new UncheckedIOException(new IOException(e));
            }
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads a part of the request, so that the response is one to it. */
    private static void readBeginning(Socket socket) throws IOException {
        assertThat(socket.getInputStream().read()).isAtLeast(0);
    }

    private HttpClientResponse post(ServerSocket server, int bytes) {
        HttpClientRequest request =
                HttpClientRequest.builder("127.0.0.1:" + server.getLocalPort(), "/a")
                        .post(Json.newObject().put("text", "x".repeat(bytes)));
        return mClient.execute(request, Deadline.after(mTime, Duration.ofSeconds(5)));
    }

    private void shouldFail(String what, Script script, int bytes) throws IOException {
        try (ServerSocket server = serve(script)) {
            RattanportException error =
                    assertThrows(RattanportException.class, () -> post(server, bytes), what);
            assertWithMessage(what).that(error.code()).isEqualTo(ErrorCode.TARGET_FAILED);
            assertWithMessage(what).that(error.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        }
    }

    @Nested
    final class Statuses {
        private void shouldFailWith(String line) throws IOException {
            shouldFail(
                    line,
                    socket -> {
                        readBeginning(socket);
                        write(socket, line + HEADERS + BODY);
                        // Until the client closes: the end of a connection must not be needed.
                        socket.getInputStream().transferTo(OutputStream.nullOutputStream());
                    },
                    1);
        }

        @Test
        void shouldHaveThreeDigits() throws IOException {
            for (String status : List.of("99", "1000", "0200", "+200", "", "OK", "two hundred")) {
                shouldFailWith("HTTP/1.1 " + status);
                shouldFailWith("HTTP/1.1 " + status + " Reason");
            }
        }

        @Test
        void shouldBeInTheRange() throws IOException {
            for (String status : List.of("000", "099", "600", "999")) {
                shouldFailWith("HTTP/1.1 " + status);
                shouldFailWith("HTTP/1.0 " + status + " Reason");
            }
        }

        /** No request asks for another protocol, so what follows is no response to it. */
        @Test
        void shouldNotSwitchTheProtocol() throws IOException {
            shouldFailWith("HTTP/1.1 101 Switching Protocols");
        }
    }

    @Nested
    final class Headers {
        private static final List<String> INVALID_LINES =
                List.of(
                        "X Invalid: a",
                        "X-Invalid : a",
                        " X-Invalid: a",
                        "X\u0000Invalid: a",
                        "X-Invalid\u001f: a",
                        "\u001cX-Invalid: a",
                        "X-Invalid",
                        ": a",
                        "Content-Length x: 3",
                        "Transfer-Encoding : chunked",
                        "X-Invalid: a\u0000b",
                        "X-Invalid: a\rb",
                        "X-Invalid: a\u0001b");

        /** Until the client closes: the end of a connection must not be needed. */
        private static void awaitClose(Socket socket) throws IOException {
            socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        }

        @Test
        void shouldHaveTokensForNamesAndNoControlCharacters() throws IOException {
            for (String line : INVALID_LINES) {
                shouldFail(
                        line,
                        socket -> {
                            readBeginning(socket);
                            write(socket, "HTTP/1.1 200 OK\r\n" + line + HEADERS + BODY);
                            awaitClose(socket);
                        },
                        1);
            }
        }

        @Test
        void shouldBeCheckedInTrailers() throws IOException {
            for (String line : INVALID_LINES) {
                shouldFail(
                        line,
                        socket -> {
                            readBeginning(socket);
                            String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                            write(socket, head + "7\r\n" + BODY + "\r\n0\r\n" + line + "\r\n\r\n");
                            awaitClose(socket);
                        },
                        1);
            }
        }

        @Test
        void shouldBeCheckedBehindAnInterimResponse() throws IOException {
            shouldFail(
                    "interim",
                    socket -> {
                        readBeginning(socket);
                        write(socket, "HTTP/1.1 100 Continue\r\n\r\n");
                        write(socket, "HTTP/1.1 200 OK\r\nX Invalid: a" + HEADERS + BODY);
                        awaitClose(socket);
                    },
                    1);
        }

        private static void readToTheEndOfTheObject(Socket socket) throws IOException {
            int next = socket.getInputStream().read();
            while (next >= 0 && next != '}') {
                next = socket.getInputStream().read();
            }
        }

        @Test
        void shouldBeCheckedInLaterResponsesOfAConnection() throws IOException {
            Script script =
                    socket -> {
                        for (String line : List.of("X-A: a", "X-B: b", "X Invalid: a")) {
                            readToTheEndOfTheObject(socket);
                            write(socket, "HTTP/1.1 200 OK\r\n" + line + HEADERS + BODY);
                        }
                        awaitClose(socket);
                    };
            try (ServerSocket server = serve(script)) {
                assertThat(post(server, 1).text()).isEqualTo(BODY);
                assertThat(post(server, 1).text()).isEqualTo(BODY);
                RattanportException error =
                        assertThrows(RattanportException.class, () -> post(server, 1));
                assertThat(error.code()).isEqualTo(ErrorCode.TARGET_FAILED);
            }
        }

        @Test
        void shouldHaveAnyTokenForAName() throws IOException {
            String head =
                    "\r\nHTTP/1.1 200 \tOK \u00e9\r\n!#$%&'*+-.^_`|~09aZ: \t\"(a)\u00ff\r\nX:";
            Script script =
                    socket -> {
                        readBeginning(socket);
                        byte[] response =
                                (head + HEADERS + BODY).getBytes(StandardCharsets.ISO_8859_1);
                        socket.getOutputStream().write(response);
                    };
            try (ServerSocket server = serve(script)) {
                HttpClientResponse response = post(server, 1);
                assertThat(response.text()).isEqualTo(BODY);
                assertThat(response.headers().get("!#$%&'*+-.^_`|~09aZ")).isEqualTo("\"(a)\u00ff");
            }
        }
    }

    @Nested
    final class InterimResponses {
        @Test
        void shouldPrecedeTheFinalOne() throws IOException {
            Script script =
                    socket -> {
                        readBeginning(socket);
                        write(socket, "HTTP/1.1 100 Continue\r\n\r\n");
                        write(socket, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
                        write(socket, "HTTP/1.1 200 OK" + HEADERS + BODY);
                    };
            try (ServerSocket server = serve(script)) {
                assertThat(post(server, 1).text()).isEqualTo(BODY);
            }
        }

        @Test
        void shouldNotBeEndless() throws IOException {
            shouldFail(
                    "endless",
                    socket -> {
                        readBeginning(socket);
                        while (true) {
                            write(socket, "HTTP/1.1 102 Processing\r\n\r\n".repeat(99));
                        }
                    },
                    1);
        }
    }

    @Nested
    final class ResponsesWithoutALength {
        private static final int REQUEST_BYTES = 4_000_000;

        private static void begin(Socket socket) throws IOException, InterruptedException {
            readBeginning(socket);
            write(socket, "HTTP/1.1 200 OK\r\n\r\n" + BODY);
            Thread.sleep(READ_MILLIS);
        }

        @Test
        void shouldBeIncompleteAfterAReset() throws IOException {
            shouldFail(
                    "reset",
                    socket -> {
                        begin(socket);
                        socket.setSoLinger(true, 0);
                    },
                    REQUEST_BYTES);
        }

        /** The system sends the end of the response, and a reset because of the unread bytes. */
        @Test
        void shouldBeIncompleteAfterACloseWithUnreadData() throws IOException {
            shouldFail("unread", ResponsesWithoutALength::begin, REQUEST_BYTES);
        }

        @Test
        void shouldBeCompleteWhenTheServerReadsOnAfterItsOutput() throws IOException {
            Script script =
                    socket -> {
                        begin(socket);
                        socket.shutdownOutput();
                        Thread.sleep(READ_MILLIS);
                        socket.getInputStream().transferTo(OutputStream.nullOutputStream());
                    };
            try (ServerSocket server = serve(script)) {
                assertThat(post(server, REQUEST_BYTES).text()).isEqualTo(BODY);
            }
        }
    }
}
