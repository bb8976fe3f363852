package org.rattanport.standins.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.rattanport.connectors.http.HttpCaller;
import org.rattanport.connectors.json.Json;

/** A caller of the system, as a client library would be one. */
public final class CallerClient {
    private static final String DATA = "data: ";

    private final OkHttpClient mClient;

    public CallerClient(Duration timeout) {
        mClient =
                new OkHttpClient.Builder()
                        .retryOnConnectionFailure(false)
                        .socketFactory(new org.rattanport.connectors.http.NoDelaySocketFactory())
                        .protocols(List.of(Protocol.HTTP_1_1))
                        .connectionPool(new ConnectionPool(512, 30, TimeUnit.SECONDS))
                        .callTimeout(timeout)
                        .readTimeout(Duration.ZERO)
                        .build();
    }

    /** A prompt to send. */
    public record Prompt(
            String key,
            String model,
            String text,
            int maximumTokens,
            double timeoutSeconds,
            Optional<Resume> resume) {
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
                    Optional.of(new Resume(ticket, receivedTokens)));
        }
    }

    /** Where a broken answer goes on. */
    public record Resume(String ticket, int receivedTokens) {}

    /** Sends a prompt and reads its streamed answer to the end. */
    public PromptOutcome prompt(String address, Prompt prompt) {
        return prompt(address, prompt, tokens -> true);
    }

    /** Reads on as long as the predicate on the number of received tokens holds. */
    public PromptOutcome prompt(String address, Prompt prompt, IntPredicate goesOn) {
        Reading reading = new Reading();
        try (Response response = mClient.newCall(request(address, prompt)).execute()) {
            reading.mStatus = response.code();
            reading.mRequestId = response.header("Rattanport-Request-Id", "");
            if (!response.isSuccessful()) {
                reading.error(Json.parseObject(response.body().bytes()));
            } else {
                reading.read(response.body().source(), goesOn);
            }
        } catch (IOException e) {
            reading.mCode = "connection_broken";
        }
        return reading.outcome();
    }

    private static Request request(String address, Prompt prompt) {
        var body = Json.object();
        body.put("model", prompt.model());
        body.put("stream", true);
        body.put("max_tokens", prompt.maximumTokens());
        body.putArray("messages").addObject().put("role", "user").put("content", prompt.text());
        Request.Builder request =
                new Request.Builder()
                        .url("http://" + address + "/v1/chat/completions")
                        .header("Authorization", "Bearer " + prompt.key())
                        .header(
                                "Rattanport-Timeout-Seconds",
                                Double.toString(prompt.timeoutSeconds()))
                        .post(HttpCaller.json(body));
        prompt.resume()
                .ifPresent(
                        resume ->
                                request.header("Rattanport-Resume", resume.ticket())
                                        .header(
                                                "Rattanport-Received-Tokens",
                                                Integer.toString(resume.receivedTokens())));
        return request.build();
    }

    /** Calls an operation of a service; an empty key sends none. */
    public ActionOutcome call(
            String address, String key, String path, String idempotencyKey, String body) {
        Request.Builder request =
                new Request.Builder()
                        .url("http://" + address + "/v1/services/" + path)
                        .header("Authorization", "Bearer " + key)
                        .post(RequestBody.create(body, HttpCaller.JSON));
        if (!idempotencyKey.isEmpty()) {
            request.header("Idempotency-Key", idempotencyKey);
        }
        return send(request);
    }

    /** Sends any request, as operators do. */
    public ActionOutcome send(Request.Builder request) {
        try (Response response = mClient.newCall(request.build()).execute()) {
            String text = response.body().string();
            JsonNode error = errorOf(text);
            return new ActionOutcome(
                    response.code(),
                    text,
                    error.path("code").asText(""),
                    error.path("verdict").asText(""));
        } catch (IOException e) {
            return new ActionOutcome(0, "", "connection_broken", "may_have_run");
        }
    }

    private static JsonNode errorOf(String text) {
        try {
            return Json.MAPPER.readTree(text).path("error");
        } catch (IOException e) {
            return Json.object();
        }
    }

    private static final class Reading {
        private final long mStartNanos = System.nanoTime();
        private final StringBuilder mText = new StringBuilder();
        private int mStatus;
        private int mTokens;
        private boolean mIsComplete;
        private String mCode = "";
        private String mVerdict = "";
        private String mRequestId = "";
        private long mFirstTokenNanos;
        private Optional<String> mTicket = Optional.empty();

        private void read(BufferedSource source, IntPredicate goesOn) throws IOException {
            String line = source.readUtf8Line();
            while (line != null && goesOn.test(mTokens)) {
                if (line.equals(DATA + "[DONE]")) {
                    mIsComplete = true;
                    return;
                }
                if (line.startsWith(DATA)) {
                    take(Json.MAPPER.readTree(line.substring(DATA.length())));
                }
                line = source.readUtf8Line();
            }
        }

        private void take(JsonNode event) {
            if (event.has("error")) {
                error(event);
                return;
            }
            if (mFirstTokenNanos == 0) {
                mFirstTokenNanos = System.nanoTime() - mStartNanos;
            }
            mText.append(event.at("/choices/0/delta/content").asText());
            mTokens += event.at("/rattanport/tokens").asInt();
            if (event.at("/rattanport").has("ticket")) {
                mTicket = Optional.of(event.at("/rattanport/ticket").asText());
            }
        }

        private void error(JsonNode body) {
            mCode = body.path("error").path("code").asText("unknown");
            mVerdict = body.path("error").path("verdict").asText("");
        }

        private PromptOutcome outcome() {
            return new PromptOutcome(
                    mStatus,
                    mText.toString(),
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
