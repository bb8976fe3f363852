package org.rattanport.connectors.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.Channel;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.SystemTimeSource;

/** Checks routing, request bodies, and when the server closes connections. */
final class HttpServerTest {
    private final SystemTimeSource mTime = new SystemTimeSource();
    private final HttpTransport mTransport = new HttpTransport();
    private final HttpClient mClient = HttpClient.withConnectionPool(mTransport, mTime);
    private final AtomicInteger mHandled = new AtomicInteger();
    private volatile Routes.ExchangeHandler mHandler = HttpServerTest::failBeforeResponse;
    private final HttpServer mServer =
            new HttpServer(mTransport, "127.0.0.1:0", this::addRoutes, HttpServer::sendErrorAsText);

    private void addRoutes(Routes routes) {
        routes.get("/things/{name}", this::respondWithParameters);
        routes.post("/echo", this::echo);
        routes.post("/deaf", exchange -> exchange.respondText(200, "unread"));
        routes.get("/broken", HttpServerTest::failInsideResponse);
        routes.get("/fails", HttpServerTest::failBeforeResponse);
        routes.get("/any", exchange -> mHandler.handle(exchange));
    }

    private void respondWithParameters(HttpExchange exchange) {
        mHandled.incrementAndGet();
        String text = exchange.pathParameter("name") + exchange.queryParameter("of").orElse("");
        exchange.respondText(200, text);
    }

    private void echo(HttpExchange exchange) {
        exchange.respond(200, "text/plain", exchange.readBody(100));
    }

    private static void failInsideResponse(HttpExchange exchange) {
        exchange.startEventStream();
        exchange.writeEvents("data: 1\n\n");
        throw new IllegalStateException("inside the response");
    }

    private static void failBeforeResponse(HttpExchange exchange) {
        throw new IllegalStateException("before the response");
    }

    @AfterEach
    void close() {
        mServer.close();
        mClient.close();
        mTransport.close();
    }

    private String address() {
        return "127.0.0.1:" + mServer.port();
    }

    private Deadline deadline() {
        return Deadline.after(mTime, Duration.ofSeconds(10));
    }

    private HttpClientResponse execute(HttpClientRequest request) {
        return mClient.execute(request, deadline());
    }

    @Nested
    final class Routing {
        @Test
        void shouldPassPathAndQueryParametersToTheHandler() {
            HttpClientResponse response =
                    execute(
                            HttpClientRequest.builder(address(), "/things/pump")
                                    .query("of", " a&b")
                                    .get());
            assertThat(response.text()).isEqualTo("pump a&b");
        }

        @Test
        void shouldRejectAnUnknownPathOrMethod() {
            assertThat(execute(HttpClientRequest.builder(address(), "/things").get()).status())
                    .isEqualTo(404);
            assertThat(execute(HttpClientRequest.builder(address(), "/things/").get()).status())
                    .isEqualTo(404);
            assertThat(execute(HttpClientRequest.builder(address(), "/echo").get()).status())
                    .isEqualTo(404);
        }

        @Test
        void shouldRespondWithAnErrorWhenAHandlerFails() {
            assertThat(execute(HttpClientRequest.builder(address(), "/fails").get()).status())
                    .isEqualTo(500);
        }
    }

    @Nested
    final class RequestBodies {
        @Test
        void shouldBeReadWhole() {
            byte[] body = "x".repeat(100).getBytes(StandardCharsets.US_ASCII);
            assertThat(execute(HttpClientRequest.builder(address(), "/echo").post(body)).body())
                    .isEqualTo(body);
        }

        @Test
        void shouldBeRejectedBeyondTheLimit() {
            HttpClientRequest request =
                    HttpClientRequest.builder(address(), "/echo").post(new byte[101]);
            assertThat(execute(request).status()).isEqualTo(413);
        }

        @Test
        void shouldNotBeParsedAsTheNextRequestWhenTheHandlerIgnoresThem() {
            byte[] smuggled =
                    "GET /things/pump HTTP/1.1\r\nHost: x\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII);
            HttpClientRequest request =
                    HttpClientRequest.builder(address(), "/deaf").post(smuggled);
            assertThat(execute(request).text()).isEqualTo("unread");
            assertThat(execute(HttpClientRequest.builder(address(), "/things/a").get()).text())
                    .isEqualTo("a");
            assertThat(mHandled.get()).isEqualTo(1);
        }
    }

    @Nested
    final class Connections {
        @Test
        void shouldCloseAfterAMalformedBody() throws Exception {
            String request =
                    "POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "3\r\nabc\r\nxyz\r\nGET /things/pump HTTP/1.1\r\n\r\n";
            assertThat(sendRaw(request)).startsWith("HTTP/1.1 400");
            assertThat(mHandled.get()).isEqualTo(0);
        }

        @Test
        void shouldCloseAfterAMalformedRequest() throws Exception {
            assertThat(sendRaw("GET nothing\r\n\r\nGET /things/pump HTTP/1.1\r\n\r\n"))
                    .startsWith("HTTP/1.1 400");
            assertThat(mHandled.get()).isEqualTo(0);
        }

        @Test
        void shouldServeSeveralRequests() throws Exception {
            String request = "GET /things/%s HTTP/1.1\r\nHost: x\r\n%s\r\n";
            String both =
                    sendRaw(
                            request.formatted("one", "")
                                    + request.formatted("two", CONNECTION_CLOSE + "\r\n"));
            assertThat(both).contains("one");
            assertThat(both).contains("two");
        }

        @Test
        void shouldBreakWhenAHandlerFailsInsideItsResponse() {
            HttpClientRequest request = HttpClientRequest.builder(address(), "/broken").get();
            try (HttpResponseStream stream =
                    mClient.executeStreaming(request, deadline(), new Cancellation())) {
                RattanportException broken =
                        assertThrows(RattanportException.class, stream::readAll);
                assertThat(broken.code()).isEqualTo(ErrorCode.TARGET_FAILED);
            }
        }

        @Test
        void shouldBreakWhenTheServerIsClosed() {
            assertThat(execute(HttpClientRequest.builder(address(), "/things/a").get()).status())
                    .isEqualTo(200);
            mServer.close();
            assertThrows(
                    RattanportException.class,
                    () -> execute(HttpClientRequest.builder(address(), "/things/a").get()));
        }
    }

    @Nested
    final class ResponseAtTheEndOfAStop {
        private static final int NO_WAIT_MILLIS = 200;
        private static final int MAX_WAIT_SECONDS = 10;

        private final CountDownLatch mMayWrite = new CountDownLatch(1);

        /** The request was over before the system had its response, which a stop then dropped. */
        @Test
        void shouldBeTakenByTheSystemBeforeTheRequestEnds() throws Exception {
            Channel other = mTransport.listen("127.0.0.1:0", () -> 1, channel -> {});
            CountDownLatch responded = new CountDownLatch(1);
            mHandler =
                    exchange -> {
                        other.eventLoop().execute(this::awaitWrite);
                        exchange.respondText(200, "done");
                        responded.countDown();
                    };
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mServer.port())) {
                socket.getOutputStream()
                        .write("GET /any HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                assertThat(responded.await(NO_WAIT_MILLIS, TimeUnit.MILLISECONDS)).isFalse();
                mMayWrite.countDown();
                assertThat(responded.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
            } finally {
                mMayWrite.countDown();
            }
        }

        private void awaitWrite() {
            try {
                mMayWrite.await();
            } catch (InterruptedException e) {
                throw RattanportException.interrupted();
            }
        }
    }

    private static final String CONNECTION_CLOSE = "Connection: close";

    /** Sends the text unchanged and returns everything received until the connection ends. */
    private String sendRaw(String text) throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mServer.port())) {
            OutputStream output = socket.getOutputStream();
            output.write(text.getBytes(StandardCharsets.US_ASCII));
            output.flush();
            InputStream input = socket.getInputStream();
            return new String(input.readAllBytes(), StandardCharsets.US_ASCII);
        }
    }
}
