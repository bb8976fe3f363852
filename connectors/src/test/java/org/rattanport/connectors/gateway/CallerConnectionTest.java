package org.rattanport.connectors.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.connectors.http.HttpChannel;
import org.rattanport.connectors.http.HttpIntake;
import org.rattanport.connectors.http.HttpTransport;
import org.rattanport.decisions.gateway.BodyMemory;
import org.rattanport.decisions.gateway.discovery.ActiveRouting;
import org.rattanport.decisions.lifecycle.InFlightRequests;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.Attempt;
import org.rattanport.kernel.gateway.CallerExchange;
import org.rattanport.kernel.gateway.CallerRequest;
import org.rattanport.kernel.gateway.Header;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.gateway.ResponseWriter;
import org.rattanport.kernel.gateway.UnansweredExchange;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.SystemTimeSource;

/** What callers get on real connections when a request ends in an unusual way. */
final class CallerConnectionTest {
    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final long MAX_WAIT_SECONDS = 20;
    private static final int MAX_HEADER_BYTES = 8_192;
    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

    private final SystemTimeSource mTime = new SystemTimeSource();
    private final HttpTransport mTransport = new HttpTransport();
    private final InFlightRequests mInFlight = new InFlightRequests(mTime);
    private final BlockingQueue<UnansweredExchange> mUnanswered = new LinkedBlockingQueue<>();
    private final BlockingQueue<CallerRequest> mServed = new LinkedBlockingQueue<>();

    /** Number of requests in flight at each refusal. */
    private final BlockingQueue<Integer> mCountAtRefusal = new LinkedBlockingQueue<>();

    private CallerConnection.Handler mHandler = CallerConnectionTest::respond;

    /** Holds back the tasks of connections until it is released. */
    private CountDownLatch mTasksMayRun = new CountDownLatch(0);

    private final BlockingQueue<HttpChannel> mStartedTasks = new LinkedBlockingQueue<>();

    private final HttpIntake mIntake =
            mTransport.openIntake("127.0.0.1:0", () -> MAX_HEADER_BYTES, this::serveConnection);

    private final Channel mListener = mIntake.listener();

    @AfterEach
    void close() {
        mTransport.close();
    }

    private void serveConnection(HttpChannel channel) {
        mStartedTasks.add(channel);
        try {
            mTasksMayRun.await();
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        }
        new CallerConnection(
                        channel,
                        new FakeDialect(),
                        this::serve,
                        new ActiveRouting(new EventStreams()),
                        mInFlight,
                        new BodyMemory(Long.MAX_VALUE),
                        () -> false,
                        mUnanswered::add)
                .run();
    }

    private void serve(CallerRequest request, CallerExchange exchange) {
        mServed.add(request);
        mHandler.serve(request, exchange);
    }

    private static void respond(CallerRequest request, CallerExchange exchange) {
        ResponseWriter response =
                exchange.startResponse(ResponseHead.builder(200).build(), OptionalInt.of(2));
        response.write("ok".getBytes(StandardCharsets.US_ASCII));
        response.finish();
    }

    private static <T> T await(BlockingQueue<T> queue) throws InterruptedException {
        return Optional.ofNullable(queue.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).orElseThrow();
    }

    private boolean isEmptyWithin(Duration timeout) {
        return mInFlight.awaitEmpty(Deadline.after(mTime, timeout));
    }

    private Socket connect() throws IOException {
        int port = ((InetSocketAddress) mListener.localAddress()).getPort();
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    private static void send(Socket socket, String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads to the end of the connection. */
    private static String receive(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private static String head(int bodyLength) {
        return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + bodyLength + "\r\n\r\n";
    }

    /** Sends the first of two bytes of a body, once the head was read. */
    private static void sendPartOfBody(Socket socket) throws IOException {
        send(socket, "POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
        byte[] interim = socket.getInputStream().readNBytes(CONTINUE.length());
        assertThat(new String(interim, StandardCharsets.US_ASCII)).isEqualTo(CONTINUE);
        send(socket, "b");
    }

    /** Reads no headers, and adds none. */
    private final class FakeDialect implements GatewayDialect {
        @Override
        public CallerRequest decodeRequest(HttpRequest head, byte[] body) {
            return new CallerRequest(
                    head.method().name(),
                    head.uri(),
                    "h",
                    "attempt",
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    List.of(),
                    Optional.empty(),
                    List.of(),
                    body);
        }

        @Override
        public FullHttpRequest encodeRequest(Attempt attempt) {
            throw new UnsupportedOperationException();
        }

        @Override
        public ResponseHead decodeResponseHead(HttpResponse head) {
            throw new UnsupportedOperationException();
        }

        @Override
        public List<Header> errorHeaders(CallerRequest request, RattanportException error) {
            mCountAtRefusal.add(mInFlight.count());
            return List.of();
        }
    }

    @Nested
    final class StopWhileABodyArrives {
        /** The stop saw no request in flight, and the process ended under it. */
        @Test
        void shouldWaitForTheBodyAndRefuse() throws Exception {
            try (Socket caller = connect()) {
                sendPartOfBody(caller);
                mInFlight.refuseNew();
                assertThat(isEmptyWithin(Duration.ZERO)).isFalse();
                send(caller, "b");
                String response = receive(caller);
                assertThat(response).startsWith("HTTP/1.1 503 ");
                assertThat(response.toLowerCase(Locale.ROOT)).contains("connection: close");
                assertThat(isEmptyWithin(Duration.ofSeconds(MAX_WAIT_SECONDS))).isTrue();
                assertThat(mServed).isEmpty();
            }
        }
    }

    @Nested
    final class CloseOfTheIntake {
        private static final Duration MAX_CLOSE_TIME = Duration.ofSeconds(MAX_WAIT_SECONDS);
        private static final String RESPONSE_END = "\r\n\r\nok";

        /** Sends a request that keeps its connection, and reads the response. */
        private void exchange(Socket caller) throws IOException {
            send(caller, head(1) + "b");
            StringBuilder response = new StringBuilder();
            while (!response.toString().endsWith(RESPONSE_END)) {
                int next = caller.getInputStream().read();
                assertThat(next).isAtLeast(0);
                response.append((char) next);
            }
        }

        /** Counts the bytes to the end of the connection, which may be a reset. */
        private int countToTheEnd(Socket caller) {
            int count = 0;
            try {
                while (caller.getInputStream().read() >= 0) {
                    count++;
                }
            } catch (IOException e) {
                assertThat(e).isNotInstanceOf(SocketTimeoutException.class);
            }
            return count;
        }

        /**
         * A request that came between the drain and the end of the event loop was refused in the
         * log only; its caller saw a plain close. Now it is not taken in.
         */
        @Test
        void shouldNotTakeInALaterRequest() throws Exception {
            try (Socket caller = connect()) {
                exchange(caller);
                mInFlight.refuseNew();
                assertThat(isEmptyWithin(MAX_CLOSE_TIME)).isTrue();
                long taken = mInFlight.totalCount();
                assertThat(mIntake.close(MAX_CLOSE_TIME)).isTrue();
                send(caller, head(1) + "b");
                assertThat(countToTheEnd(caller)).isEqualTo(0);
                assertThat(mInFlight.totalCount()).isEqualTo(taken);
                assertThat(mCountAtRefusal).isEmpty();
            }
        }

        @Test
        void shouldAcceptNoLaterConnection() throws Exception {
            assertThat(mIntake.close(MAX_CLOSE_TIME)).isTrue();
            assertThat(mListener.closeFuture().await(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
            assertThrows(IOException.class, () -> connect());
        }

        /** A request was not counted until its task ran, and the stop could end before that. */
        @Test
        void shouldWaitForATaskThatHasNotRun() throws Exception {
            mTasksMayRun = new CountDownLatch(1);
            try (Socket caller = connect()) {
                await(mStartedTasks);
                send(caller, "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nb");
                mInFlight.refuseNew();
                assertThat(mIntake.close(Duration.ofMillis(50))).isFalse();
                mTasksMayRun.countDown();
                send(caller, "b");
                assertThat(receive(caller)).startsWith("HTTP/1.1 503 ");
                assertThat(mIntake.close(MAX_CLOSE_TIME)).isTrue();
            }
        }

        /** What follows a request on its connection is dropped, but its body is waited for. */
        @Test
        void shouldRefuseARequestWhoseBodyIsStillArriving() throws Exception {
            try (Socket caller = connect()) {
                sendPartOfBody(caller);
                mInFlight.refuseNew();
                assertThat(mIntake.close(Duration.ofMillis(50))).isFalse();
                send(caller, "b" + head(1) + "b");
                assertThat(receive(caller).split("HTTP/1.1 503 ", -1)).hasLength(2);
                assertThat(mIntake.close(MAX_CLOSE_TIME)).isTrue();
            }
        }
    }

    @Nested
    final class StopDuringARefusal {
        /** A refusal was written outside the count, and the process could end before it. */
        @Test
        void shouldWaitForTheRefusal() throws Exception {
            try (Socket caller = connect()) {
                send(caller, head(Integer.MAX_VALUE) + "b");
                assertThat(receive(caller)).startsWith("HTTP/1.1 413 ");
                assertThat(await(mCountAtRefusal)).isEqualTo(1);
            }
        }

        /** A caller that sends the rest of its body after the end got a reset for its answer. */
        @Test
        void shouldWaitUntilTheCallerHasTheRefusal() throws Exception {
            try (Socket caller = connect()) {
                send(caller, head(Integer.MAX_VALUE) + "b");
                await(mCountAtRefusal);
                assertThat(isEmptyWithin(Duration.ZERO)).isFalse();
                send(caller, "b");
                assertThat(receive(caller)).startsWith("HTTP/1.1 413 ");
                caller.close();
                assertThat(isEmptyWithin(Duration.ofSeconds(MAX_WAIT_SECONDS))).isTrue();
            }
        }
    }

    @Nested
    final class UnexpectedErrors {
        private String receiveAfterRequest(CallerConnection.Handler handler) throws IOException {
            mHandler = handler;
            try (Socket caller = connect()) {
                send(caller, head(1) + "b" + "GET /b HTTP/1.1\r\nConnection: close\r\n\r\n");
                return receive(caller);
            }
        }

        /** The connection was closed in order, without an answer. */
        @Test
        void shouldBeAnswered() throws Exception {
            String responses =
                    receiveAfterRequest(
                            (request, exchange) -> {
                                throw new IllegalStateException("broken");
                            });
            assertThat(responses.split("HTTP/1.1 500 ", -1)).hasLength(3);
        }

        /** An error of the virtual machine ended the task without an answer. */
        @Test
        void shouldBeAnsweredWhenMemoryIsShort() throws Exception {
            String responses =
                    receiveAfterRequest(
                            (request, exchange) -> {
                                throw new OutOfMemoryError("simulated");
                            });
            assertThat(responses.split("HTTP/1.1 500 ", -1)).hasLength(3);
        }

        /** The connection of an interrupted task was closed as if its caller had left. */
        @Test
        void shouldBeAnsweredWhenSomethingElseIsCancelled() throws Exception {
            String responses =
                    receiveAfterRequest(
                            (request, exchange) -> {
                                throw RattanportException.builder(ErrorCode.CANCELLED, "cancelled")
                                        .verdict(Verdict.MAY_HAVE_RUN)
                                        .build();
                            });
            assertThat(responses.split("HTTP/1.1 502 ", -1)).hasLength(3);
        }

        @Test
        void shouldBeAnsweredWhenNothingWasSent() throws Exception {
            String responses = receiveAfterRequest((request, exchange) -> {});
            assertThat(responses.split("HTTP/1.1 502 ", -1)).hasLength(3);
        }

        @Test
        void shouldResetAResponseThatHasStarted() throws Exception {
            mHandler =
                    (request, exchange) -> {
                        exchange.startResponse(
                                ResponseHead.builder(200).build(), OptionalInt.empty());
                        throw new IllegalStateException("broken");
                    };
            try (Socket caller = connect()) {
                send(caller, head(1) + "b");
                assertThrows(IOException.class, () -> receive(caller));
                assertThat(await(mUnanswered).state()).isEqualTo(UnansweredExchange.State.STARTED);
            }
        }
    }

    @Nested
    final class HeldResponseThatIsTooLong {
        private static final int TOO_LONG_BYTES = 2 * 1024 * 1024;

        /** A caller of HTTP/1.0 got the end of the connection instead of an answer. */
        @Test
        void shouldBeAnsweredWithAnError() throws Exception {
            mHandler =
                    (request, exchange) ->
                            exchange.startResponse(
                                            ResponseHead.builder(200).build(), OptionalInt.empty())
                                    .write(new byte[TOO_LONG_BYTES]);
            try (Socket caller = connect()) {
                send(caller, "GET /a HTTP/1.0\r\n\r\n");
                assertThat(receive(caller)).startsWith("HTTP/1.1 502 ");
            }
        }
    }

    @Nested
    final class CutAtTheEndOfADrain {
        private static final int LONG_BYTES = 64 * 1024 * 1024;
        private static final Duration MAX_CUT_TIME = Duration.ofSeconds(5);
        private static final Duration EVENT_LOOP_DELAY = Duration.ofMillis(50);

        private final CountDownLatch mNever = new CountDownLatch(1);

        /** The body was waited for until the end of the process, and nothing was said of it. */
        @Test
        void shouldRefuseARequestWhoseBodyIsStillArriving() throws Exception {
            try (Socket caller = connect()) {
                sendPartOfBody(caller);
                mInFlight.refuseNew();
                mInFlight.cutAll();
                assertThat(receive(caller)).startsWith("HTTP/1.1 503 ");
                caller.close();
                assertThat(isEmptyWithin(MAX_CUT_TIME)).isTrue();
            }
        }

        /** A connect, a lease or a coordinator was waited for longer than the cut lasts. */
        @Test
        void shouldEndAnyWait() throws Exception {
            mHandler = (request, exchange) -> waitForever();
            try (Socket caller = connect()) {
                send(caller, head(1) + "b");
                await(mServed);
                mInFlight.refuseNew();
                mInFlight.cutAll();
                assertThat(receive(caller)).startsWith("HTTP/1.1 502 ");
                caller.close();
                assertThat(isEmptyWithin(MAX_CUT_TIME)).isTrue();
            }
        }

        private void waitForever() {
            try {
                mNever.await();
            } catch (InterruptedException e) {
                throw RattanportException.interrupted().withVerdict(Verdict.MAY_HAVE_RUN);
            }
        }

        /** A response whose last byte was on its way to the system was reset. */
        @Test
        void shouldSendAWholeResponseThatIsBeingWritten() throws Exception {
            mHandler =
                    (request, exchange) -> {
                        ResponseWriter response =
                                exchange.startResponse(
                                        ResponseHead.builder(200).build(), OptionalInt.of(2));
                        response.write("ok".getBytes(StandardCharsets.US_ASCII));
                        mListener.eventLoop().execute(this::blockEventLoop);
                        mInFlight.cutAll();
                        response.finish();
                    };
            try (Socket caller = connect()) {
                send(caller, "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n");
                assertThat(receive(caller)).endsWith("ok");
                assertThat(mUnanswered).isEmpty();
            }
        }

        private void blockEventLoop() {
            try {
                mNever.await(EVENT_LOOP_DELAY.toMillis(), TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                throw RattanportException.interrupted();
            }
        }

        /** A caller that did not read held its request in flight for ten seconds. */
        @Test
        void shouldEndTheWaitForASlowCaller() throws Exception {
            mHandler =
                    (request, exchange) -> {
                        ResponseWriter response =
                                exchange.startResponse(
                                        ResponseHead.builder(200).build(), OptionalInt.empty());
                        response.write(new byte[LONG_BYTES]);
                        response.finish();
                    };
            try (Socket caller = connect()) {
                send(caller, head(1) + "b");
                await(mServed);
                mInFlight.refuseNew();
                mInFlight.cutAll();
                assertThat(isEmptyWithin(MAX_CUT_TIME)).isTrue();
                UnansweredExchange unanswered = await(mUnanswered);
                assertThat(unanswered.cause()).isEqualTo(UnansweredExchange.Cause.STOPPING);
                assertThat(unanswered.state()).isEqualTo(UnansweredExchange.State.STARTED);
            }
        }
    }
}
