package org.rattanport.standins;

import java.time.Duration;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import org.rattanport.connectors.http.HttpExchange;
import org.rattanport.connectors.http.Routes;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.time.SystemTimeSource;
import org.rattanport.kernel.time.TimeSource;

/**
 * Stand-in for one target of a plain service. It counts the runs of each idempotency key in a
 * counter that all targets of the service share, and does not reject a repeated key, so that tests
 * can detect calls that ran twice.
 */
public final class ServiceStandIn implements AutoCloseable {
    /** Counts the runs of each idempotency key over all targets of a service. */
    public static final class RunCounter {
        private final Map<String, Integer> mRunsByKey = new ConcurrentHashMap<>();

        void recordRun(String key) {
            mRunsByKey.merge(key, 1, Integer::sum);
        }

        public int runCount(String key) {
            return mRunsByKey.getOrDefault(key, 0);
        }

        /** Returns the number of keys that ran more than once. */
        public long keysWithSeveralRuns() {
            return mRunsByKey.values().stream().filter(count -> count > 1).count();
        }
    }

    private static final Duration SLOW_CALL_DELAY = Duration.ofSeconds(3);
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    private final TimeSource mTime = new SystemTimeSource();
    private final RunCounter mRunCounter;
    private final Random mRandom;
    private final StandInHttpServer mServer;
    private volatile ServiceFault mFault = ServiceFault.NONE;
    private volatile double mFaultProbability = 1.0;

    public ServiceStandIn(int port, RunCounter runCounter, long seed) {
        mRunCounter = runCounter;
        mRandom = new Random(seed);
        mServer = new StandInHttpServer(port, this::addRoutes);
    }

    public String address() {
        return mServer.address();
    }

    /** Injects the fault into each later call with the given probability. */
    public void injectFault(ServiceFault fault, double probability) {
        mFaultProbability = probability;
        mFault = fault;
    }

    private void addRoutes(Routes routes) {
        routes.post("/{operation}", this::call);
    }

    private void call(HttpExchange exchange) {
        String operation = exchange.pathParameter("operation");
        String key = exchange.header("Idempotency-Key").orElse("");
        StandInHttpServer.readBody(exchange);
        ServiceFault fault = drawFault();
        if (fault == ServiceFault.REFUSE) {
            StandInHttpServer.sendError(exchange, UNAVAILABLE, "refused");
            return;
        }
        if (fault == ServiceFault.SLOW) {
            mTime.sleep(SLOW_CALL_DELAY);
        }
        if (!key.isEmpty()) {
            mRunCounter.recordRun(key);
        }
        switch (fault) {
            case RUN_THEN_CUT -> exchange.abort();
            case RUN_THEN_ERROR -> StandInHttpServer.sendError(exchange, SERVER_ERROR, "crashed");
            default ->
                    exchange.respond(
                            OK,
                            Json.newObject()
                                    .put("operation", operation)
                                    .put("reference", "ref-" + key)
                                    .put("status", "accepted"));
        }
    }

    private synchronized ServiceFault drawFault() {
        return mFault != ServiceFault.NONE && mRandom.nextDouble() < mFaultProbability
                ? mFault
                : ServiceFault.NONE;
    }

    @Override
    public void close() {
        mServer.close();
    }
}
