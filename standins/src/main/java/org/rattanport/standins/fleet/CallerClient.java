package org.rattanport.standins.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.function.IntPredicate;
import org.rattanport.connectors.http.HttpClient;
import org.rattanport.connectors.http.HttpClientRequest;
import org.rattanport.connectors.http.HttpClientResponse;
import org.rattanport.connectors.http.HttpResponseStream;
import org.rattanport.connectors.http.HttpTransport;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.SystemTimeSource;
import org.rattanport.kernel.time.TimeSource;

/** Client of entry instances; sends prompts, service calls and operators' requests. */
public final class CallerClient implements AutoCloseable {
    private static final String DATA_PREFIX = "data: ";
    private static final int OK = 200;

    private final TimeSource mTime = new SystemTimeSource();
    private final HttpTransport mTransport = new HttpTransport();
    private final HttpClient mHttp = HttpClient.withConnectionPool(mTransport, mTime);
    private final Duration mTimeout;

    public CallerClient(Duration timeout) {
        mTimeout = timeout;
    }

    private Deadline deadline() {
        return Deadline.after(mTime, mTimeout);
    }

    @Override
    public void close() {
        mHttp.close();
        mTransport.close();
    }

    /** A prompt to send, with the key of the client account that sends it. */
    public record Prompt(
            String accountKey,
            String model,
            String text,
            int maxOutputTokens,
            double timeoutSeconds,
            Optional<ResumePosition> resume) {
        /** Creates a prompt whose answer starts at the first token. */
        public Prompt(
                String accountKey,
                String model,
                String text,
                int maxOutputTokens,
                double timeoutSeconds) {
            this(accountKey, model, text, maxOutputTokens, timeoutSeconds, Optional.empty());
        }

        /** Returns this prompt as a request that resumes its answer after the received tokens. */
        public Prompt resumed(String ticket, int receivedTokens) {
            return new Prompt(
                    accountKey,
                    model,
                    text,
                    maxOutputTokens,
                    timeoutSeconds,
                    Optional.of(new ResumePosition(ticket, receivedTokens)));
        }
    }

    /** Position after which an interrupted answer resumes. */
    public record ResumePosition(String ticket, int receivedTokens) {}

    /** Sends a prompt and reads the streamed answer to its end. */
    public PromptOutcome sendPrompt(String address, Prompt prompt) {
        return sendPrompt(address, prompt, tokens -> true);
    }

    /** Sends a prompt and reads until the predicate rejects the number of received tokens. */
    public PromptOutcome sendPrompt(String address, Prompt prompt, IntPredicate shouldContinue) {
        ResponseReader reader = new ResponseReader();
        try (HttpResponseStream response =
                mHttp.executeStreaming(
                        promptRequest(address, prompt), deadline(), new Cancellation())) {
            reader.mStatus = response.status();
            reader.mRequestId = response.header("Rattanport-Request-Id").orElse("");
            if (response.status() == OK) {
                reader.readEvents(response, shouldContinue);
            } else {
                reader.recordError(response.readAll().json());
            }
        } catch (RattanportException | IOException e) {
            reader.mCode = "connection_broken";
        }
        return reader.outcome();
    }

    private static HttpClientRequest promptRequest(String address, Prompt prompt) {
        var body = Json.newObject();
        body.put("model", prompt.model());
        body.put("stream", true);
        body.put("max_tokens", prompt.maxOutputTokens());
        body.putArray("messages").addObject().put("role", "user").put("content", prompt.text());
        HttpClientRequest.Builder request =
                HttpClientRequest.builder(address, "/v1/chat/completions")
                        .header("Authorization", "Bearer " + prompt.accountKey())
                        .header(
                                "Rattanport-Timeout-Seconds",
                                Double.toString(prompt.timeoutSeconds()));
        prompt.resume()
                .ifPresent(
                        resume ->
                                request.header("Rattanport-Resume", resume.ticket())
                                        .header(
                                                "Rattanport-Received-Tokens",
                                                Integer.toString(resume.receivedTokens())));
        return request.post(body);
    }

    /** Calls an operation of a service; an empty idempotency key omits the header. */
    public ActionOutcome callService(
            String address, String accountKey, String path, String idempotencyKey, String body) {
        HttpClientRequest.Builder request =
                HttpClientRequest.builder(address, "/v1/services/" + path)
                        .header("Authorization", "Bearer " + accountKey);
        if (!idempotencyKey.isEmpty()) {
            request.header("Idempotency-Key", idempotencyKey);
        }
        return send(request.post(body.getBytes(StandardCharsets.UTF_8)));
    }

    /** Sends any request, such as one of an operator. */
    public ActionOutcome send(HttpClientRequest request) {
        try {
            HttpClientResponse response = mHttp.execute(request, deadline());
            JsonNode error = parseError(response.text());
            return new ActionOutcome(
                    response.status(),
                    response.text(),
                    error.path("code").asText(""),
                    error.path("verdict").asText(""));
        } catch (RattanportException e) {
            return new ActionOutcome(0, "", "connection_broken", "may_have_run");
        }
    }

    private static JsonNode parseError(String body) {
        try {
            return Json.MAPPER.readTree(body).path("error");
        } catch (IOException e) {
            return Json.newObject();
        }
    }

    private static final class ResponseReader {
        private final long mStartNanos = System.nanoTime();
        private final StringBuilder mAnswerText = new StringBuilder();
        private int mStatus;
        private int mTokens;
        private boolean mIsComplete;
        private String mCode = "";
        private String mVerdict = "";
        private String mRequestId = "";
        private long mFirstTokenNanos;
        private Optional<String> mTicket = Optional.empty();

        private void readEvents(HttpResponseStream response, IntPredicate shouldContinue)
                throws IOException {
            Optional<String> line = response.nextLine();
            while (line.isPresent() && shouldContinue.test(mTokens)) {
                if (line.get().equals(DATA_PREFIX + "[DONE]")) {
                    mIsComplete = true;
                    return;
                }
                if (line.get().startsWith(DATA_PREFIX)) {
                    handleEvent(Json.MAPPER.readTree(line.get().substring(DATA_PREFIX.length())));
                }
                line = response.nextLine();
            }
        }

        private void handleEvent(JsonNode event) {
            if (event.has("error")) {
                recordError(event);
                return;
            }
            if (mFirstTokenNanos == 0) {
                mFirstTokenNanos = System.nanoTime() - mStartNanos;
            }
            mAnswerText.append(event.at("/choices/0/delta/content").asText());
            mTokens += event.at("/rattanport/tokens").asInt();
            if (event.at("/rattanport").has("ticket")) {
                mTicket = Optional.of(event.at("/rattanport/ticket").asText());
            }
        }

        private void recordError(JsonNode body) {
            mCode = body.path("error").path("code").asText("unknown");
            mVerdict = body.path("error").path("verdict").asText("");
        }

        private PromptOutcome outcome() {
            return new PromptOutcome(
                    mStatus,
                    mAnswerText.toString(),
                    mTokens,
                    mIsComplete,
                    mCode,
                    mVerdict,
                    mFirstTokenNanos,
                    System.nanoTime() - mStartNanos,
                    mRequestId,
                    mTicket);
        }
    }
}
