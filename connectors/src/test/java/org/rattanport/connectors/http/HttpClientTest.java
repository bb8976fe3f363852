package org.rattanport.connectors.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.SystemTimeSource;

/** Checks which failures of a request report that nothing was sent. */
final class HttpClientTest {
    private static final String CHUNKED_RESPONSE =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1f\r\n"
                    + "d".repeat(31)
                    + "\r\n0\r\n\r\n";

    private static final String CONTENT_LENGTH_RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome text";

    /**
     * Enough repetitions for the reset to arrive at different points while the response is read.
     */
    private static final int RESETS = 200;

    private final SystemTimeSource mTime = new SystemTimeSource();
    private final HttpTransport mTransport = new HttpTransport();
    private final HttpClient mClient = HttpClient.withConnectionPool(mTransport, mTime);

    @AfterEach
    void close() {
        mClient.close();
        mTransport.close();
    }

    @Nested
    final class FailedRequests {
        @Test
        void shouldBeNotRunWhenTheConnectionIsRefused() throws Exception {
            int port;
            try (ServerSocket closed = listen()) {
                port = closed.getLocalPort();
            }
            assertThat(failure(port).verdict()).isEqualTo(Verdict.NOT_RUN);
        }

        @Test
        void shouldBeUnknownWhenTheServerClosesWithoutAResponse() throws Exception {
            try (ServerSocket server = listen()) {
                Tasks.start("server", () -> acceptAndRespond(server, ""));
                assertThat(failure(server.getLocalPort()).verdict())
                        .isEqualTo(Verdict.MAY_HAVE_RUN);
            }
        }

        @Test
        void shouldBeUnknownWhenTheResponseIsTruncated() throws Exception {
            try (ServerSocket server = listen()) {
                String truncated = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf";
                Tasks.start("server", () -> acceptAndRespond(server, truncated));
                assertThat(failure(server.getLocalPort()).verdict())
                        .isEqualTo(Verdict.MAY_HAVE_RUN);
            }
        }

        @Test
        void shouldBeUnknownWhenAResponseWithoutALengthIsReset() throws Exception {
            String truncated = "HTTP/1.1 200 OK\r\n\r\nhalf";
            try (ServerSocket server = listen()) {
                Tasks.start("server", () -> acceptAndReset(server, truncated));
                for (int i = 0; i < RESETS; i++) {
                    assertThat(failure(server.getLocalPort()).verdict())
                            .isEqualTo(Verdict.MAY_HAVE_RUN);
                }
            }
        }

        @Test
        void shouldBeUnknownWhereverAFramedResponseIsTruncated() throws Exception {
            for (String complete : List.of(CHUNKED_RESPONSE, CONTENT_LENGTH_RESPONSE)) {
                for (int length = 0; length < complete.length(); length++) {
                    String part = complete.substring(0, length);
                    try (ServerSocket server = listen()) {
                        Tasks.start("server", () -> acceptAndRespond(server, part));
                        assertThat(failure(server.getLocalPort()).verdict())
                                .isEqualTo(Verdict.MAY_HAVE_RUN);
                    }
                }
            }
        }

        @Test
        void shouldBeUnknownWhenAChunkOfTheResponseIsMalformed() throws Exception {
            String malformed =
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nxyz\r\n";
            try (ServerSocket server = listen()) {
                Tasks.start("server", () -> acceptAndRespond(server, malformed));
                assertThat(failure(server.getLocalPort()).verdict())
                        .isEqualTo(Verdict.MAY_HAVE_RUN);
            }
        }

        @Test
        void shouldBeNotRunWhenTheTaskIsInterruptedBeforeItConnects() throws Exception {
            try (ServerSocket server = listen()) {
                Thread.currentThread().interrupt();
                RattanportException failure = failure(server.getLocalPort());
                assertThat(Thread.interrupted()).isTrue();
                assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
            }
        }
    }

    @Nested
    final class SuccessfulRequests {
        @Test
        void shouldReadTheWholeResponse() throws Exception {
            try (ServerSocket server = listen()) {
                String complete = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
                Tasks.start("server", () -> acceptAndRespond(server, complete));
                assertThat(execute(server.getLocalPort()).status()).isEqualTo(200);
            }
        }
    }

    @Nested
    final class PooledConnections {
        private static final String COMPLETE_RESPONSE =
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

        @Test
        void shouldBeReusedAfterACompleteResponse() throws Exception {
            assertThat(connectionsOfTwoRequests(COMPLETE_RESPONSE)).isEqualTo(1);
        }

        @Test
        void shouldNotBeReusedWhenTheServerClosesThem() throws Exception {
            String last = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}";
            assertThat(connectionsOfTwoRequests(last)).isEqualTo(2);
        }

        private int connectionsOfTwoRequests(String response) throws Exception {
            AtomicInteger accepted = new AtomicInteger();
            try (ServerSocket server = listen()) {
                Tasks.start("server", () -> acceptAll(server, response, accepted));
                assertThat(execute(server.getLocalPort()).status()).isEqualTo(200);
                assertThat(execute(server.getLocalPort()).status()).isEqualTo(200);
            }
            return accepted.get();
        }

        private static void acceptAll(
                ServerSocket server, String response, AtomicInteger accepted) {
            while (true) {
                Socket socket;
                try {
                    socket = server.accept();
                } catch (java.io.IOException e) {
                    return;
                }
                accepted.incrementAndGet();
                Tasks.start("connection", () -> respondToAll(socket, response));
            }
        }

        private static void respondToAll(Socket open, String response) {
            byte[] request = new byte[8192];
            try (Socket socket = open) {
                // The requests are small, and each arrives in one read.
                while (socket.getInputStream().read(request) > 0) {
                    socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                    socket.getOutputStream().flush();
                }
            } catch (java.io.IOException e) {
                assertThat(e).hasMessageThat().isNotEmpty();
            }
        }
    }

    private RattanportException failure(int port) {
        return assertThrows(RattanportException.class, () -> execute(port));
    }

    private HttpClientResponse execute(int port) {
        HttpClientRequest request =
                HttpClientRequest.builder("127.0.0.1:" + port, "/book").post(Json.newObject());
        return mClient.execute(request, Deadline.after(mTime, Duration.ofSeconds(5)));
    }

    private static ServerSocket listen() throws Exception {
        return new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    }

    /** Responds to each request and resets its connection. */
    private static void acceptAndReset(ServerSocket server, String response) {
        for (int i = 0; i < RESETS; i++) {
            try (Socket socket = server.accept()) {
                assertThat(socket.getInputStream().read(new byte[8192])).isGreaterThan(0);
                socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                socket.setSoLinger(true, 0);
            } catch (java.io.IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }
    }

    private static void acceptAndRespond(ServerSocket server, String response) {
        try (Socket socket = server.accept()) {
            InputStream input = socket.getInputStream();
            // The request is small and arrives in one read.
            assertThat(input.read(new byte[8192])).isGreaterThan(0);
            socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
