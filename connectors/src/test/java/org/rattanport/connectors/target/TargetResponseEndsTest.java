package org.rattanport.connectors.target;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.connectors.http.HttpTransport;
import org.rattanport.kernel.environment.Operation;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.event.Streams;
import org.rattanport.kernel.exchange.ResponseScript;
import org.rattanport.kernel.exchange.ResponseScript.End;
import org.rattanport.kernel.exchange.SeededCases;
import org.rattanport.kernel.model.AccountId;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.model.RequestId;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetKind;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.request.ActionRequest;
import org.rattanport.kernel.request.AnswerChunk;
import org.rattanport.kernel.request.PromptRequest;
import org.rattanport.kernel.target.Continuation;
import org.rattanport.kernel.target.EngineCall;
import org.rattanport.kernel.target.EngineClient;
import org.rattanport.kernel.target.ServiceClient;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.SystemTimeSource;

/**
 * Responses of targets of the prompts edition that end or fall silent at any byte, in any framing:
 * the client takes none for whole that is not, and says of no other that it has not run. See
 * docs/exchange.md.
 */
final class TargetResponseEndsTest {
    private static final int CASES_PER_SEED = 120;
    private static final Duration TIME = Duration.ofSeconds(10);

    /** Ends the wait for a target that is silent. */
    private static final Duration SILENCE_TIME = Duration.ofMillis(400);

    private static final int TOKENS = 4;
    private static final String LENGTH_HEADER = "content-length:";

    private final SystemTimeSource mTime = new SystemTimeSource();
    private final HttpTransport mTransport = new HttpTransport();
    private final TargetClientPlugin mPlugin = new TargetClientPlugin();
    private final PluginContext mContext = new PluginContext(new EventStreams(), mTime);

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

    /** Responds to one request with a script, and closes the connection. */
    private static void respond(ServerSocket server, ResponseScript script, List<String> parts) {
        try (Socket socket = server.accept()) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            StringBuilder head = new StringBuilder();
            while (!head.toString().endsWith("\r\n\r\n")) {
                head.append((char) input.read());
            }
            String lower = head.toString().toLowerCase(Locale.ROOT);
            String length =
                    lower.substring(lower.indexOf(LENGTH_HEADER) + LENGTH_HEADER.length())
                            .lines()
                            .findFirst()
                            .orElseThrow();
            input.skipNBytes(Long.parseLong(length.strip()));
            script.respond(socket, input, "", parts);
        } catch (IOException e) {
            // The client closed the connection, which a silent script waits for.
            assertThat(e).hasMessageThat().isNotEmpty();
        }
    }

    /** Calls a target that responds with the script. */
    private interface Call {
        void call(Target target, Deadline deadline);
    }

    /** Returns the error of a call; empty if it succeeded. */
    private Optional<RattanportException> failure(
            ResponseScript script, List<String> parts, Call call) throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Tasks.start("target", () -> respond(server, script, parts));
            Target target =
                    new Target(
                            new TargetId("target", 1),
                            TargetKind.SERVICE,
                            "pool",
                            "127.0.0.1:" + server.getLocalPort(),
                            "dc",
                            false);
            boolean isSilent = script.end() == End.SILENCE && !script.isCertainlyWhole();
            call.call(target, Deadline.after(mTime, isSilent ? SILENCE_TIME : TIME));
            return Optional.empty();
        } catch (RattanportException e) {
            return Optional.of(e);
        }
    }

    @Nested
    final class EngineStreams {
        private static String event(int position) {
            boolean isLast = position == TOKENS - 1;
            return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w"
                    + position
                    + "\"}}],\"rattanport\":{\"position\":"
                    + position
                    + ",\"tokens\":1,\"last\":"
                    + isLast
                    + "}}\n\n";
        }

        private final List<String> mParts = List.of(event(0), event(1), event(2), event(3));

        @Test
        void shouldCompleteOnlyWithTheirLastEvent() throws Exception {
            new SeededCases<>(CASES_PER_SEED, ResponseScript::random)
                    .play(SeededCases.CASES_PER_ENGINE, (name, script) -> play(script));
        }

        private void play(ResponseScript script) throws IOException {
            List<AnswerChunk> chunks = new ArrayList<>();
            Optional<RattanportException> failure =
                    failure(
                            script,
                            mParts,
                            (target, deadline) ->
                                    Streams.forEach(
                                            mContext.require(EngineClient.class)
                                                    .generate(target, engineCall(deadline)),
                                            chunks::add));
            for (int i = 0; i < chunks.size(); i++) {
                assertThat(chunks.get(i).text()).isEqualTo("w" + i);
            }
            boolean isComplete = !chunks.isEmpty() && chunks.getLast().isLast();
            assertThat(chunks.size() == TOKENS).isEqualTo(isComplete);
            assertThat(failure.isEmpty()).isEqualTo(isComplete);
            assertWithMessage("%s", failure)
                    .that(failure.isPresent() && script.isCertainlyWhole())
                    .isFalse();
            failure.ifPresent(e -> assertThat(e.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN));
        }

        private EngineCall engineCall(Deadline deadline) {
            PromptRequest request =
                    PromptRequest.builder()
                            .account(new AccountId("account"))
                            .model("assistant")
                            .prompt("why?")
                            .maximumOutputTokens(TOKENS)
                            .timeLimit(TIME, deadline)
                            .build();
            return new EngineCall(
                    request,
                    request.prompt(),
                    1,
                    new InstanceId("instance", 1),
                    0,
                    Continuation.START,
                    List.of(),
                    deadline,
                    new Cancellation());
        }
    }

    @Nested
    final class ServiceResponses {
        private static final Operation BOOK =
                new Operation("book", false, Duration.ofSeconds(5), Set.of(503));
        private static final List<String> PARTS = List.of("{\"seat\"", ": 7", "}");

        @Test
        void shouldBeResultsOnlyIfTheyAreWhole() throws Exception {
            new SeededCases<>(CASES_PER_SEED, ResponseScript::random)
                    .play(SeededCases.CASES_PER_ENGINE, (name, script) -> play(script));
        }

        private void play(ResponseScript script) throws IOException {
            List<String> results = new ArrayList<>();
            Optional<RattanportException> failure =
                    failure(
                            script,
                            PARTS,
                            (target, deadline) ->
                                    results.add(
                                            mContext.require(ServiceClient.class)
                                                    .call(target, BOOK, request(deadline), 0)
                                                    .body()));
            failure.ifPresent(e -> assertThat(e.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN));
            if (failure.isPresent()) {
                assertWithMessage("%s", failure).that(script.isCertainlyWhole()).isFalse();
            } else if (script.isWhole()) {
                assertThat(results).containsExactly(String.join("", PARTS));
            } else {
                assertWithMessage("%s", results).that(script.isEndedByClose()).isTrue();
                assertThat(script.hasHead(PARTS)).isTrue();
                assertThat(results).containsExactly(script.bodyUntilClose(PARTS));
            }
        }

        private ActionRequest request(Deadline deadline) {
            return new ActionRequest(
                    new RequestId("request"),
                    new AccountId("account"),
                    "pool",
                    "book",
                    "{}",
                    Optional.of("seat-7"),
                    deadline);
        }
    }
}
