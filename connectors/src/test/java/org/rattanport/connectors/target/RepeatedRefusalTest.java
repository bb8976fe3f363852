package org.rattanport.connectors.target;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.connectors.http.HttpTransport;
import org.rattanport.kernel.environment.Operation;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.model.AccountId;
import org.rattanport.kernel.model.RequestId;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetKind;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.request.ActionRequest;
import org.rattanport.kernel.request.ActionResult;
import org.rattanport.kernel.target.ServiceClient;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.SystemTimeSource;

/** A target that writes an earlier refusal once more where the next response is due. */
final class RepeatedRefusalTest {
    private static final Operation LOCK_OUT =
            new Operation("lock-out", false, Duration.ofSeconds(5), Set.of(503));
    private static final String REFUSAL =
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}";
    private static final String RESULT = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

    private final SystemTimeSource mTime = new SystemTimeSource();
    private final HttpTransport mTransport = new HttpTransport();
    private final TargetClientPlugin mPlugin = new TargetClientPlugin();
    private final PluginContext mContext = new PluginContext(new EventStreams(), mTime);
    private final AtomicInteger mRuns = new AtomicInteger();

    @BeforeEach
    void start() {
        mContext.provide(HttpTransport.class, mTransport);
        mPlugin.start(mContext);
    }

    @AfterEach
    void stop() {
        mPlugin.stop(Deadline.after(mTime, Duration.ofSeconds(1)));
        mTransport.close();
    }

    @Nested
    final class Calls {
        @Test
        void shouldNotTakeARepeatedRefusalForTheResponseToTheNextCall() throws Exception {
            try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
                Tasks.start("faulty-target", () -> acceptAll(server));
                RattanportException refused =
                        assertThrows(RattanportException.class, () -> call(server));
                assertThat(refused.verdict()).isEqualTo(Verdict.NOT_RUN);
                ActionResult result = call(server);
                assertThat(result.status()).isEqualTo(200);
                assertThat(mRuns.get()).isEqualTo(1);
            }
        }

        private ActionResult call(ServerSocket server) {
            Target target =
                    new Target(
                            new TargetId("ledger", 1),
                            TargetKind.SERVICE,
                            "ledger",
                            "127.0.0.1:" + server.getLocalPort(),
                            "dc",
                            false);
            ActionRequest request =
                    new ActionRequest(
                            new RequestId("request"),
                            new AccountId("account"),
                            "ledger",
                            "lock-out",
                            "{}",
                            Optional.of("pump-7"),
                            Deadline.after(mTime, Duration.ofSeconds(5)));
            return mContext.require(ServiceClient.class).call(target, LOCK_OUT, request, 0);
        }

        private void acceptAll(ServerSocket server) {
            AtomicInteger requests = new AtomicInteger();
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    Tasks.start("connection", () -> respond(socket, requests));
                } catch (IOException e) {
                    return;
                }
            }
        }

        /** Refuses the first request of all, and repeats that before it runs the next one. */
        private void respond(Socket accepted, AtomicInteger requests) {
            byte[] request = new byte[8_192];
            boolean hasRefused = false;
            try (Socket socket = accepted) {
                OutputStream output = socket.getOutputStream();
                while (socket.getInputStream().read(request) > 0) {
                    if (requests.getAndIncrement() == 0) {
                        hasRefused = true;
                        output.write(REFUSAL.getBytes(StandardCharsets.US_ASCII));
                    } else {
                        mRuns.incrementAndGet();
                        String response = hasRefused ? REFUSAL + RESULT : RESULT;
                        output.write(response.getBytes(StandardCharsets.US_ASCII));
                    }
                    output.flush();
                }
            } catch (IOException e) {
                assertThat(e).hasMessageThat().isNotEmpty();
            }
        }
    }
}
