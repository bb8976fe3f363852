package org.rattanport.connectors.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.connectors.http.HttpTransport;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.gateway.Attempt;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.CallerRequest;
import org.rattanport.kernel.gateway.Header;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.SystemTimeSource;

final class NettyBackEndClientTest {
    private static final Duration MAX_WAIT = Duration.ofSeconds(20);

    private final SystemTimeSource mTime = new SystemTimeSource();

    private static Attempt attemptAt(int port) {
        CallerRequest request =
                new CallerRequest(
                        "GET",
                        "/a",
                        "h",
                        "attempt",
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        List.of(),
                        Optional.empty(),
                        List.of(),
                        new byte[0]);
        return new Attempt(
                request,
                new BackEnd("one", 0, "calls", "127.0.0.1:" + port, "zone", 1, false),
                MAX_WAIT,
                Optional.empty(),
                0,
                List.of(),
                Optional.empty());
    }

    /** Sends a request without headers. */
    private static final class BareDialect implements GatewayDialect {
        @Override
        public CallerRequest decodeRequest(HttpRequest head, byte[] body) {
            throw new UnsupportedOperationException();
        }

        @Override
        public FullHttpRequest encodeRequest(Attempt attempt) {
            return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a");
        }

        @Override
        public ResponseHead decodeResponseHead(HttpResponse head) {
            throw new UnsupportedOperationException();
        }

        @Override
        public List<Header> errorHeaders(CallerRequest request, RattanportException error) {
            return List.of();
        }
    }

    @Nested
    final class InterruptedWait {
        /** The error of a request that was sent said that it had not run. */
        @Test
        void shouldLeaveItOpenWhetherTheRequestHasRun() throws Exception {
            CompletableFuture<Verdict> verdict = new CompletableFuture<>();
            try (HttpTransport transport = new HttpTransport();
                    ServerSocket backEnd =
                            new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                Thread task =
                        Tasks.start(
                                "request",
                                () -> awaitHead(transport, backEnd.getLocalPort(), verdict));
                try (Socket accepted = backEnd.accept()) {
                    // The first byte of the request.
                    assertThat(accepted.getInputStream().read()).isEqualTo((int) 'G');
                    task.interrupt();
                    assertThat(verdict.get(MAX_WAIT.toSeconds(), TimeUnit.SECONDS))
                            .isEqualTo(Verdict.MAY_HAVE_RUN);
                }
            }
        }

        private void awaitHead(
                HttpTransport transport, int port, CompletableFuture<Verdict> verdict) {
            Deadline deadline = Deadline.after(mTime, MAX_WAIT);
            try (var exchange =
                    new NettyBackEndClient(transport, new BareDialect(), mTime)
                            .send(attemptAt(port), deadline, () -> {})) {
                exchange.awaitHead(deadline);
            } catch (RattanportException e) {
                verdict.complete(e.verdict());
            }
        }
    }
}
