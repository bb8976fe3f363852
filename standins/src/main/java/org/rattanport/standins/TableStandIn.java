package org.rattanport.standins;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.rattanport.connectors.http.HttpExchange;
import org.rattanport.connectors.http.Routes;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.platform.Row;
import org.rattanport.kernel.platform.RowWrite;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.SystemTimeSource;
import org.rattanport.kernel.time.TimeSource;

/** Stand-in for the platform's transactional table service that can inject faults. */
public final class TableStandIn implements AutoCloseable {
    private static final Duration LATE_WRITE_DELAY = Duration.ofMillis(300);
    private static final Duration SLOW_CALL_DELAY = Duration.ofMillis(800);
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final TimeSource mTime = new SystemTimeSource();
    private final NavigableMap<String, Row> mRows = new TreeMap<>();
    private final NavigableMap<String, Row> mStaleSnapshot = new TreeMap<>();
    private final AtomicLong mReadCount = new AtomicLong();
    private final AtomicLong mTransactionCount = new AtomicLong();
    private final Random mRandom;
    private final StandInHttpServer mServer;
    private long mLastRevision;
    private volatile TableFault mFault = TableFault.NONE;
    private volatile double mFaultProbability = 1.0;

    public TableStandIn(int port, long seed) {
        mRandom = new Random(seed);
        mServer = new StandInHttpServer(port, this::addRoutes);
    }

    public String url() {
        return "http://" + mServer.address();
    }

    /** Injects the fault into each later call with the given probability. */
    public synchronized void injectFault(TableFault fault, double probability) {
        mFault = fault;
        mFaultProbability = probability;
    }

    /** Copies the current rows; stale reads return this copy until the next call of this method. */
    public synchronized void captureStaleSnapshot() {
        mStaleSnapshot.clear();
        mStaleSnapshot.putAll(mRows);
    }

    public long readCount() {
        return mReadCount.get();
    }

    /** Number of transactions received, whether or not they were applied. */
    public long transactionCount() {
        return mTransactionCount.get();
    }

    private void addRoutes(Routes routes) {
        routes.get("/row", this::get);
        routes.get("/rows", this::scan);
        routes.post("/transactions", this::commit);
        routes.post("/faults", this::setFault);
    }

    private void setFault(HttpExchange exchange) {
        var body = StandInHttpServer.readJson(exchange);
        captureStaleSnapshot();
        injectFault(
                TableFault.valueOf(body.path("fault").asText("NONE")),
                body.path("share").asDouble(1.0));
        exchange.respond(OK, Json.newObject());
    }

    private void get(HttpExchange exchange) {
        mReadCount.incrementAndGet();
        TableFault fault = drawFault();
        if (applyReadFault(fault, exchange)) {
            return;
        }
        Optional<Row> row = read(exchange.queryParameter("key").orElse(""), fault);
        if (row.isEmpty()) {
            StandInHttpServer.sendError(exchange, NOT_FOUND, "absent");
        } else {
            exchange.respond(OK, row.get());
        }
    }

    private synchronized Optional<Row> read(String key, TableFault fault) {
        return Optional.ofNullable(
                (fault == TableFault.STALE_READ ? mStaleSnapshot : mRows).get(key));
    }

    private void scan(HttpExchange exchange) {
        mReadCount.incrementAndGet();
        TableFault fault = drawFault();
        if (applyReadFault(fault, exchange)) {
            return;
        }
        String prefix = exchange.queryParameter("prefix").orElse("");
        String after = exchange.queryParameter("after").orElse("");
        int limit = Integer.parseInt(exchange.queryParameter("limit").orElse("100"));
        var body = Json.newObject();
        var list = body.putArray("rows");
        synchronized (this) {
            mRows.tailMap(after.isEmpty() ? prefix : after, after.isEmpty()).values().stream()
                    .takeWhile(row -> row.key().startsWith(prefix))
                    .limit(limit)
                    .forEach(list::addPOJO);
        }
        exchange.respond(OK, body);
    }

    /** Applies a fault to a read; returns true if this method has sent an error response. */
    private boolean applyReadFault(TableFault fault, HttpExchange exchange) {
        if (fault == TableFault.SLOW) {
            mTime.sleep(SLOW_CALL_DELAY);
        }
        if (fault == TableFault.DOWN) {
            StandInHttpServer.sendError(exchange, UNAVAILABLE, "down");
            return true;
        }
        return false;
    }

    private void commit(HttpExchange exchange) {
        mTransactionCount.incrementAndGet();
        List<RowWrite> writes = new ArrayList<>();
        StandInHttpServer.readJson(exchange)
                .path("writes")
                .forEach(
                        each ->
                                writes.add(
                                        new RowWrite(
                                                each.path("key").asText(),
                                                each.path("expected_revision").asLong(),
                                                Optional.ofNullable(each.get("value"))
                                                        .map(value -> value.asText()))));
        switch (drawFault()) {
            case DOWN -> StandInHttpServer.sendError(exchange, UNAVAILABLE, "down");
            case LOST_ANSWER -> {
                applyAll(writes);
                StandInHttpServer.sendError(exchange, UNAVAILABLE, "lost");
            }
            case LATE_WRITE -> {
                Tasks.start("late-write", () -> applyAfterDelay(writes));
                StandInHttpServer.sendError(exchange, UNAVAILABLE, "late");
            }
            case SLOW -> {
                mTime.sleep(SLOW_CALL_DELAY);
                commitAndRespond(exchange, writes);
            }
            case NONE, STALE_READ -> commitAndRespond(exchange, writes);
        }
    }

    private void applyAfterDelay(List<RowWrite> writes) {
        mTime.sleep(LATE_WRITE_DELAY);
        applyAll(writes);
    }

    private void commitAndRespond(HttpExchange exchange, List<RowWrite> writes) {
        List<String> conflicts = applyAll(writes);
        var body = Json.newObject();
        if (!conflicts.isEmpty()) {
            conflicts.forEach(body.putArray("conflicts")::add);
            exchange.respond(CONFLICT, body);
            return;
        }
        var revisions = body.putArray("revisions");
        synchronized (this) {
            writes.forEach(each -> revisions.add(revision(each.key())));
        }
        exchange.respond(OK, body);
    }

    /** Applies all writes or none; returns the keys whose revision is not the expected one. */
    private synchronized List<String> applyAll(List<RowWrite> writes) {
        List<String> conflicts =
                writes.stream()
                        .filter(each -> revision(each.key()) != each.expectedRevision())
                        .map(RowWrite::key)
                        .toList();
        if (conflicts.isEmpty()) {
            writes.forEach(this::applyWrite);
        }
        return conflicts;
    }

    private void applyWrite(RowWrite write) {
        if (write.value().isEmpty()) {
            mRows.remove(write.key());
            return;
        }
        mLastRevision++;
        mRows.put(write.key(), new Row(write.key(), mLastRevision, write.value().get()));
    }

    private long revision(String key) {
        Row row = mRows.get(key);
        return row == null ? RowWrite.ABSENT : row.revision();
    }

    private synchronized TableFault drawFault() {
        return mFault != TableFault.NONE && mRandom.nextDouble() < mFaultProbability
                ? mFault
                : TableFault.NONE;
    }

    @Override
    public void close() {
        mServer.close();
    }
}
