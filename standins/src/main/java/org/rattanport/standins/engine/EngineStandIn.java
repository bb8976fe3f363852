package org.rattanport.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.rattanport.connectors.http.HttpExchange;
import org.rattanport.connectors.http.Routes;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.standins.HeldPort;
import org.rattanport.standins.StandInHttpServer;

/** Stand-in for one model engine: the engine protocol over a simulated batch in scaled time. */
public final class EngineStandIn implements AutoCloseable {
    /** Prompt text that makes the engine crash. */
    public static final String CRASH_TRIGGER = "#engine-must-die#";

    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final long RESERVATION_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);
    private static final long DRAIN_GRACE_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final double PREFILL_OVERHEAD_PER_SEGMENT = 0.1;
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final int SERVER_ERROR = 500;

    private final String mName;
    private final String mModel;
    private final EngineProfile mProfile;
    private final boolean mChecksFencingNumbers;
    private final AtomicLong mArrivalCount = new AtomicLong();
    private final AtomicLong mReportSequence = new AtomicLong();
    private final AtomicLong mRequestsAfterDrainGrace = new AtomicLong();
    private final AtomicLong mLoadReportRequests = new AtomicLong();
    private PrefixCache mCache = new PrefixCache();
    private EngineBatch mBatch;
    private Optional<StandInHttpServer> mServer = Optional.empty();

    /** Held from the first start to the end, so that a restart finds the port free. */
    private final HeldPort mPort = new HeldPort();

    private volatile long mIncarnation = 1;
    private volatile boolean mIsDraining;
    private volatile long mDrainStartNanos;
    private volatile String mModelVersion = "1";
    private volatile boolean mIsLoadingModel;
    private volatile long mFencingNumber;
    private Optional<Snapshot> mLastReport = Optional.empty();

    private record Snapshot(long takenNanos, ObjectNode report) {}

    public EngineStandIn(
            String name, String model, EngineProfile profile, boolean checksFencingNumbers) {
        mName = name;
        mModel = model;
        mProfile = profile;
        mChecksFencingNumbers = checksFencingNumbers;
        mBatch = new EngineBatch(profile);
        mServer = Optional.of(new StandInHttpServer(mPort.port(), this::addRoutes));
    }

    public String name() {
        return mName;
    }

    public String address() {
        return "127.0.0.1:" + mPort.port();
    }

    public long incarnation() {
        return mIncarnation;
    }

    public long usedMemoryTokens() {
        return mBatch.usedMemoryTokens();
    }

    public String modelVersion() {
        return mModelVersion;
    }

    /** Number of prompts received more than three seconds after the engine began to drain. */
    public long requestsAfterDrainGrace() {
        return mRequestsAfterDrainGrace.get();
    }

    /** Number of requests for a load report. */
    public long loadReportRequests() {
        return mLoadReportRequests.get();
    }

    /** Makes the engine refuse new work; running streams continue. */
    public void drain() {
        mDrainStartNanos = System.nanoTime();
        mIsDraining = true;
    }

    public synchronized boolean isRunning() {
        return mServer.isPresent();
    }

    /** Closes all connections at once and discards all sequences. */
    public synchronized void crash() {
        mServer.ifPresent(StandInHttpServer::close);
        mServer = Optional.empty();
        mBatch.close();
    }

    /** Starts the engine again at the same address with a new incarnation and an empty cache. */
    public synchronized void restart() {
        mIncarnation++;
        mIsDraining = false;
        mFencingNumber = 0;
        mCache = new PrefixCache();
        mBatch = new EngineBatch(mProfile);
        mLastReport = Optional.empty();
        mServer = Optional.of(new StandInHttpServer(mPort.port(), this::addRoutes));
    }

    private void addRoutes(Routes routes) {
        routes.post("/v1/chat/completions", this::handleCompletion);
        routes.post("/v1/release", this::handleRelease);
        routes.post("/v1/reserve", this::handleReservation);
        routes.post("/v1/segments", this::handleSegment);
        routes.post("/v1/orders", this::handleModelAssignment);
        routes.get("/v1/load", this::sendLoadReport);
        routes.get("/v1/holdings", this::sendMemoryAllocations);
        routes.get("/v1/state", this::sendState);
    }

    /** Sends an error response and returns true if the engine drains or loads a model version. */
    private boolean refuseIfUnavailable(HttpExchange exchange) {
        if (mIsDraining) {
            StandInHttpServer.sendError(exchange, UNAVAILABLE, "leaving");
        } else if (mIsLoadingModel) {
            StandInHttpServer.sendError(exchange, UNAVAILABLE, "refused");
        }
        return mIsDraining || mIsLoadingModel;
    }

    private void handleCompletion(HttpExchange exchange) {
        JsonNode body = StandInHttpServer.readJson(exchange);
        JsonNode extensions = body.path("rattanport");
        String key = extensions.path("key").asText();
        if (extensions.path("attach").asBoolean()) {
            mBatch.find(key)
                    .ifPresentOrElse(
                            found -> streamOutput(found, extensions, exchange),
                            () ->
                                    StandInHttpServer.sendError(
                                            exchange, NOT_FOUND, "unknown_stream"));
            return;
        }
        if (refuseIfUnavailable(exchange)) {
            countIfAfterDrainGrace();
            return;
        }
        String prompt = body.path("messages").path(0).path("content").asText();
        if (prompt.contains(CRASH_TRIGGER)) {
            Tasks.start("engine-death", this::crash);
            exchange.abort();
            return;
        }
        Sequence sequence = createSequence(key, prompt, body, extensions);
        mBatch.add(sequence);
        streamOutput(sequence, extensions, exchange);
    }

    private void countIfAfterDrainGrace() {
        if (mIsDraining && System.nanoTime() - mDrainStartNanos > DRAIN_GRACE_NANOS) {
            mRequestsAfterDrainGrace.incrementAndGet();
        }
    }

    private Sequence createSequence(String key, String prompt, JsonNode body, JsonNode extensions) {
        int seed = DeterministicAnswer.seed(prompt);
        int maxOutputTokens = body.path("max_tokens").asInt();
        int promptTokens = countTokens(prompt);
        long freeTokens = mProfile.memoryTokens() - mBatch.usedMemoryTokens();
        int cachedTokens = mCache.lookUpAndAdd(prompt, Math.max(freeTokens, 0));
        int prefilledSegments = extensions.path("pieces").size();
        double prefillTokens =
                Math.max(1, promptTokens - cachedTokens)
                        * (1 + PREFILL_OVERHEAD_PER_SEGMENT * prefilledSegments);
        return new Sequence(
                key,
                parseOwner(extensions),
                extensions.path("priority").asInt(),
                mArrivalCount.incrementAndGet(),
                promptTokens + maxOutputTokens,
                prefillTokens,
                seed,
                extensions.path("continue_at").asInt(),
                DeterministicAnswer.tokenCount(seed, maxOutputTokens));
    }

    private void streamOutput(Sequence sequence, JsonNode extensions, HttpExchange exchange) {
        exchange.startEventStream();
        int startPosition = extensions.path("continue_at").asInt();
        int position = startPosition;
        try {
            while (true) {
                Sequence.Output output =
                        sequence.awaitOutput(position, TimeUnit.MINUTES.toNanos(10));
                if (output.isReleased()) {
                    exchange.endEventStream();
                    return;
                }
                boolean isDone = output.isDone();
                int available = output.tokens();
                StringBuilder events = new StringBuilder();
                for (; position < available; position++) {
                    boolean isLast = isDone && position == available - 1;
                    boolean hasLoad = isLast || position == startPosition;
                    Optional<ObjectNode> report =
                            hasLoad ? Optional.of(laggingLoadReport()) : Optional.empty();
                    events.append(tokenEvent(sequence, position, isLast, report));
                }
                if (events.isEmpty() && isDone) {
                    events.append(endEvent(position));
                }
                exchange.writeEvents(events.toString());
                if (isDone) {
                    mBatch.release(sequence.mKey);
                    exchange.endEventStream();
                    return;
                }
            }
        } catch (RattanportException e) {
            // The client that reads the stream has disconnected. The sequence stays in the batch so
            // that an instance can resume the stream or reclaim its memory.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String tokenEvent(
            Sequence sequence, int position, boolean isLast, Optional<ObjectNode> report) {
        ObjectNode node = Json.newObject();
        ObjectNode choice = node.putArray("choices").addObject().put("index", 0);
        choice.putObject("delta")
                .put("content", DeterministicAnswer.token(sequence.mSeed, position));
        choice.put("finish_reason", isLast ? "stop" : null);
        ObjectNode extensions =
                node.putObject("rattanport")
                        .put("position", position)
                        .put("tokens", 1)
                        .put("last", isLast);
        report.ifPresent(load -> extensions.set("load", load));
        return "data: " + Json.toJsonString(node) + "\n\n";
    }

    private static String endEvent(int position) {
        ObjectNode node = Json.newObject();
        ObjectNode choice = node.putArray("choices").addObject().put("index", 0);
        choice.putObject("delta").put("content", "");
        choice.put("finish_reason", "stop");
        node.putObject("rattanport").put("position", position).put("tokens", 0).put("last", true);
        return "data: " + Json.toJsonString(node) + "\n\n";
    }

    private void handleRelease(HttpExchange exchange) {
        mBatch.release(StandInHttpServer.readJson(exchange).path("key").asText());
        exchange.respond(OK, Json.newObject());
    }

    private void handleReservation(HttpExchange exchange) {
        JsonNode body = StandInHttpServer.readJson(exchange);
        if (refuseIfUnavailable(exchange)) {
            return;
        }
        try {
            boolean isReserved =
                    mBatch.reserve(createWithoutOutput(body, 0), RESERVATION_WAIT_NANOS);
            exchange.respond(isReserved ? OK : CONFLICT, Json.newObject());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void handleSegment(HttpExchange exchange) {
        JsonNode body = StandInHttpServer.readJson(exchange);
        double overheadFactor = 1 + PREFILL_OVERHEAD_PER_SEGMENT * body.path("pieces").size();
        Sequence segment = createWithoutOutput(body, body.path("tokens").asInt() * overheadFactor);
        mBatch.add(segment);
        try {
            boolean isPrefilled = segment.awaitPrefill();
            exchange.respond(isPrefilled ? OK : SERVER_ERROR, Json.newObject());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Creates a sequence without output, for a segment of a prompt or for a reservation. */
    private Sequence createWithoutOutput(JsonNode body, double prefillTokens) {
        return new Sequence(
                body.path("key").asText(),
                parseOwner(body),
                0,
                mArrivalCount.incrementAndGet(),
                body.path("tokens").asLong(),
                prefillTokens,
                0,
                0,
                0);
    }

    private void handleModelAssignment(HttpExchange exchange) {
        JsonNode body = StandInHttpServer.readJson(exchange);
        long fencingNumber = body.path("fencing_number").asLong();
        if (mChecksFencingNumbers && fencingNumber < mFencingNumber) {
            StandInHttpServer.sendError(exchange, CONFLICT, "old_fencing_number");
            return;
        }
        mFencingNumber = Math.max(mFencingNumber, fencingNumber);
        String version = body.path("version").asText();
        if (!version.equals(mModelVersion) && !mIsLoadingModel) {
            mIsLoadingModel = true;
            Tasks.start("engine-load", () -> loadModel(version));
        }
        exchange.respond(OK, Json.newObject());
    }

    /** Simulates the load of a model version, during which the engine refuses new work. */
    private void loadModel(String version) {
        new org.rattanport.kernel.time.SystemTimeSource()
                .sleep(
                        java.time.Duration.ofNanos(
                                (long)
                                        (mProfile.modelLoadTime().toNanos()
                                                / mProfile.timeScale())));
        mModelVersion = version;
        mIsLoadingModel = false;
    }

    private void sendLoadReport(HttpExchange exchange) {
        mLoadReportRequests.incrementAndGet();
        exchange.respond(OK, laggingLoadReport());
    }

    /** Returns a load report that may be as old as the profile's lag, as those of engines are. */
    private synchronized ObjectNode laggingLoadReport() {
        long now = System.nanoTime();
        double lagNanos = mProfile.loadReportLag().toNanos() / mProfile.timeScale();
        boolean isFresh =
                mLastReport.filter(each -> now - each.takenNanos() < lagNanos).isPresent();
        if (!isFresh) {
            mLastReport = Optional.of(new Snapshot(now, currentLoadReport()));
        }
        // The report states the drain without a lag; its other fields lag.
        return mLastReport.orElseThrow().report().deepCopy().put("leaving", mIsDraining);
    }

    private ObjectNode currentLoadReport() {
        double waitingTokens = 0;
        int runningStreams = 0;
        for (Sequence each : mBatch.sequences()) {
            Sequence.State state = each.state();
            if (state == Sequence.State.WAITING || state == Sequence.State.PREFILL) {
                waitingTokens += each.mRemainingPrefillTokens;
            }
            runningStreams += state == Sequence.State.RUNNING ? 1 : 0;
        }
        return Json.newObject()
                .put("name", mName)
                .put("incarnation", mIncarnation)
                .put("sequence", mReportSequence.incrementAndGet())
                .put("waiting_prompt_tokens", (long) waitingTokens)
                .put("running_streams", runningStreams)
                .put("used_memory_tokens", mBatch.usedMemoryTokens())
                .put("total_memory_tokens", mProfile.memoryTokens())
                .put("prefill_tokens_per_second", mProfile.reportedPrefillTokensPerSecond())
                .put("seconds_per_output_token", mProfile.reportedSecondsPerOutputToken());
    }

    private void sendMemoryAllocations(HttpExchange exchange) {
        var body = Json.newObject();
        var list = body.putArray("holdings");
        mBatch.sequences()
                .forEach(
                        each ->
                                list.addObject()
                                        .put("key", each.mKey)
                                        .put("owner", each.mOwner.name())
                                        .put("owner_incarnation", each.mOwner.incarnation())
                                        .put("tokens", each.mMemoryTokens)
                                        .put("age_seconds", each.idleSeconds()));
        exchange.respond(OK, body);
    }

    private void sendState(HttpExchange exchange) {
        exchange.respond(
                OK,
                Json.newObject()
                        .put("model", mModel)
                        .put("version", mModelVersion)
                        .put("loading", mIsLoadingModel)
                        .put("fencing_number", mFencingNumber));
    }

    private static InstanceId parseOwner(JsonNode node) {
        return new InstanceId(node.path("owner").asText(), node.path("owner_incarnation").asLong());
    }

    private static int countTokens(String text) {
        return Math.max(1, (text.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
    }

    @Override
    public void close() {
        crash();
        mPort.close();
    }
}
