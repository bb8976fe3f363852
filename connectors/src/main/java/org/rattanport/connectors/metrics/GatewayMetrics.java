package org.rattanport.connectors.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.AttemptFailure;
import org.rattanport.kernel.gateway.BackEndNotice;
import org.rattanport.kernel.gateway.ColdBackEndEvent;
import org.rattanport.kernel.gateway.EvacuationChange;
import org.rattanport.kernel.gateway.PlacementDecision;
import org.rattanport.kernel.gateway.RateLimitEvent;
import org.rattanport.kernel.gateway.RequestOutcome;
import org.rattanport.kernel.gateway.StoreChange;
import org.rattanport.kernel.gateway.UnansweredExchange;

/**
 * The metrics of a gateway instance. The services and the error codes bound the number of label
 * values.
 */
public final class GatewayMetrics {
    private static final double[] DURATION_BUCKETS_SECONDS = {
        0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 3, 5, 10, 15, 30
    };
    private static final double MILLIS_PER_SECOND = 1_000;

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Counter mRequests =
            Counter.builder()
                    .name("rattanport_gateway_requests")
                    .help("Requests that ended, by service, outcome and verdict")
                    .labelNames("service", "outcome", "verdict")
                    .register(mRegistry);
    private final Counter mFailures =
            Counter.builder()
                    .name("rattanport_gateway_attempt_failures")
                    .help("Failed attempts at back ends, by code and verdict")
                    .labelNames("code", "verdict")
                    .register(mRegistry);
    private final Counter mPlacements =
            Counter.builder()
                    .name("rattanport_gateway_placements")
                    .help(
                            "Placements of prompts in a group of engines, by who decided: peer,"
                                    + " self, or none if no coordinator responded")
                    .labelNames("coordinator", "is_placed")
                    .register(mRegistry);
    private final Counter mNotices =
            Counter.builder()
                    .name("rattanport_gateway_back_end_notices")
                    .help("What back ends said about themselves in responses, by kind")
                    .labelNames("kind")
                    .register(mRegistry);
    private final Counter mUnanswered =
            Counter.builder()
                    .name("rattanport_gateway_unanswered_exchanges")
                    .help("Exchanges that ended without a whole response, by state and cause")
                    .labelNames("state", "cause")
                    .register(mRegistry);
    private final Counter mRateLimits =
            Counter.builder()
                    .name("rattanport_gateway_rate_limits")
                    .help(
                            "Events about the rate limits of back ends: named, ended, and requests"
                                    + " granted, held_back or unanswered by the owner, or sent as"
                                    + " fallback to a cold one")
                    .labelNames("kind")
                    .register(mRegistry);
    private final Counter mColdBackEnds =
            Counter.builder()
                    .name("rattanport_gateway_cold_back_ends")
                    .help("Back ends that this instance learned to be cold, or no longer cold")
                    .labelNames("kind")
                    .register(mRegistry);
    private final Counter mEvacuations =
            Counter.builder()
                    .name("rattanport_gateway_evacuations")
                    .help("Evacuations of data centres that began or ended, by data centre")
                    .labelNames("data_centre", "kind")
                    .register(mRegistry);
    private final Histogram mDurations =
            Histogram.builder()
                    .name("rattanport_gateway_request_seconds")
                    .help(
                            "Time from the arrival of a request to the end of its response, by"
                                    + " service")
                    .labelNames("service")
                    .classicOnly()
                    .classicUpperBounds(DURATION_BUCKETS_SECONDS)
                    .register(mRegistry);
    private final Histogram mStoreChanges =
            Histogram.builder()
                    .name("rattanport_gateway_store_change_seconds")
                    .help(
                            "Time from the first read of a change of the store by any instance"
                                    + " until it was applied here, by part")
                    .labelNames("part")
                    .classicOnly()
                    .classicUpperBounds(DURATION_BUCKETS_SECONDS)
                    .register(mRegistry);
    private final Gauge mState =
            Gauge.builder()
                    .name("rattanport_gateway_state")
                    .help("Current values of this instance, by name")
                    .labelNames("name")
                    .register(mRegistry);

    void countRequest(RequestOutcome outcome) {
        mRequests
                .labelValues(outcome.service(), outcome.outcome(), outcome.verdict().wireName())
                .inc();
        mDurations
                .labelValues(outcome.service())
                .observe(outcome.durationMillis() / MILLIS_PER_SECOND);
    }

    void countAttemptFailure(AttemptFailure failure) {
        mFailures.labelValues(failure.errorCode(), failure.verdict().wireName()).inc();
    }

    void countPlacement(PlacementDecision decision) {
        mPlacements
                .labelValues(
                        decision.coordinator().name().toLowerCase(Locale.ROOT),
                        Boolean.toString(decision.isPlaced()))
                .inc();
    }

    void countNotice(BackEndNotice notice) {
        mNotices.labelValues(notice.kind().wireName()).inc();
    }

    void countUnanswered(UnansweredExchange exchange) {
        mUnanswered.labelValues(exchange.state().wireName(), exchange.cause().wireName()).inc();
    }

    void countRateLimit(RateLimitEvent event) {
        mRateLimits.labelValues(event.kind().wireName()).inc();
    }

    void countColdBackEnd(ColdBackEndEvent event) {
        mColdBackEnds.labelValues(event.kind().wireName()).inc();
    }

    void observeStoreChange(StoreChange change) {
        mStoreChanges
                .labelValues(change.part().wireName())
                .observe(change.origin().age().toMillis() / MILLIS_PER_SECOND);
    }

    void countEvacuation(EvacuationChange change) {
        mEvacuations
                .labelValues(change.dataCentre(), change.isEvacuated() ? "began" : "ended")
                .inc();
        mStoreChanges
                .labelValues("evacuations")
                .observe(change.origin().age().toMillis() / MILLIS_PER_SECOND);
        setState("evacuated_data_centres", change.evacuatedCount());
    }

    void setState(String name, double value) {
        mState.labelValues(name).set(value);
    }

    /** Returns all metrics in the text format of Prometheus. */
    String toPrometheusText() {
        try (ByteArrayOutputStream output = new ByteArrayOutputStream()) {
            PrometheusTextFormatWriter.create().write(output, mRegistry.scrape());
            return output.toString(StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw RattanportException.builder(ErrorCode.INTERNAL, "cannot write metrics")
                    .cause(e)
                    .build();
        }
    }
}
