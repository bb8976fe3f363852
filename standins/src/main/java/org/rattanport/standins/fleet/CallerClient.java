package org.rattanport.standins.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.function.IntPredicate;
import org.rattanport.connectors.http.HttpAnswer;
import org.rattanport.connectors.http.HttpCall;
import org.rattanport.connectors.http.HttpCaller;
import org.rattanport.connectors.http.HttpStream;
import org.rattanport.connectors.http.HttpTransport;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.SystemTimeSource;
import org.rattanport.kernel.time.TimeSource;

/** A caller of the system, as a client library would be one. */
public final class CallerClient implements AutoCloseable {
    private static final String DATA_PREFIX = "data: ";
    private static final int OK = 200;

    private final TimeSource mTime = new SystemTimeSource();
    private final HttpTransport mTransport = new HttpTransport();
    private final HttpCaller mHttp = HttpCaller.onKeptConnections(mTransport, mTime);
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

    /** A prompt to send. */
    public record Prompt(
            String key,
            String model,
            String text,
            int maximumTokens,
            double timeoutSeconds,
            Optional<ResumePosition> resume) {
        public Prompt(
                String key, String model, String text, int maximumTokens, double timeoutSeconds) {
            this(key, model, text, maximumTokens, timeoutSeconds, Optional.empty());
        }

        /** A prompt that starts from the beginning. */
        public Prompt resumed(String ticket, int receivedTokens) {
            return new Prompt(
                    key,
                    model,
                    text,
                    maximumTokens,
                    timeoutSeconds,
                    Optional.of(new ResumePosition(ticket, receivedTokens)));
        }
    }

    /** Where a broken answer goes on. */
    public record ResumePosition(String ticket, int receivedTokens) {}

    /** Sends a prompt and reads its streamed answer to the end. */
    public PromptOutcome sendPrompt(String address, Prompt prompt) {
        return sendPrompt(address, prompt, tokens -> true);
    }

    /** Reads on as long as the predicate on the number of received tokens holds. */
    public PromptOutcome sendPrompt(String address, Prompt prompt, IntPredicate goesOn) {
        ResponseReader reading = new ResponseReader();
        try (HttpStream answer =
                mHttp.open(promptRequest(address, prompt), deadline(), new Cancellation())) {
            reading.mStatus = answer.status();
            reading.mRequestId = answer.header("Rattanport-Request-Id").orElse("");
            if (answer.status() == OK) {
                reading.readEvents(answer, goesOn);
            } else {
                reading.recordError(answer.readAll().json());
            }
        } catch (RattanportException | IOException e) {
            reading.mCode = "connection_broken";
        }
        return reading.outcome();
    }

    private static HttpCall promptRequest(String address, Prompt prompt) {
        var body = Json.object();
        body.put("model", prompt.model());
        body.put("stream", true);
        body.put("max_tokens", prompt.maximumTokens());
        body.putArray("messages").addObject().put("role", "user").put("content", prompt.text());
        HttpCall.Builder request =
                HttpCall.to(address, "/v1/chat/completions")
                        .header("Authorization", "Bearer " + prompt.key())
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

    /** Calls an operation of a service; an empty key sends none. */
    public ActionOutcome callService(
            String address, String key, String path, String idempotencyKey, String body) {
        HttpCall.Builder request =
                HttpCall.to(address, "/v1/services/" + path)
                        .header("Authorization", "Bearer " + key);
        if (!idempotencyKey.isEmpty()) {
            request.header("Idempotency-Key", idempotencyKey);
        }
        return send(request.post(body.getBytes(StandardCharsets.UTF_8)));
    }

    /** Sends any request, as operators do. */
    public ActionOutcome send(HttpCall call) {
        try {
            HttpAnswer answer = mHttp.exchange(call, deadline());
            JsonNode error = parseError(answer.text());
            return new ActionOutcome(
                    answer.status(),
                    answer.text(),
                    error.path("code").asText(""),
                    error.path("verdict").asText(""));
        } catch (RattanportException e) {
            return new ActionOutcome(0, "", "connection_broken", "may_have_run");
        }
    }

    private static JsonNode parseError(String text) {
        try {
            return Json.MAPPER.readTree(text).path("error");
        } catch (IOException e) {
            return Json.object();
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

        private void readEvents(HttpStream answer, IntPredicate goesOn) throws IOException {
            Optional<String> line = answer.nextLine();
            while (line.isPresent() && goesOn.test(mTokens)) {
                if (line.get().equals(DATA_PREFIX + "[DONE]")) {
                    mIsComplete = true;
                    return;
                }
                if (line.get().startsWith(DATA_PREFIX)) {
                    handleEvent(Json.MAPPER.readTree(line.get().substring(DATA_PREFIX.length())));
                }
                line = answer.nextLine();
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
