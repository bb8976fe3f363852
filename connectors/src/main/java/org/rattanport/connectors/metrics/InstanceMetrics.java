package org.rattanport.connectors.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.rattanport.connectors.peer.NettyPeerNetwork;
import org.rattanport.decisions.lifecycle.InFlightRequests;
import org.rattanport.decisions.memory.MemoryReclaimer;
import org.rattanport.decisions.ordering.Dispatcher;
import org.rattanport.kernel.environment.ActiveEnvironments;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.peer.Membership;
import org.rattanport.kernel.plugin.PluginContext;

/**
 * The metrics of one instance. Each instance has a registry of its own, so that several instances
 * can run in one process.
 */
public final class InstanceMetrics {
    private static final double[] FIRST_TOKEN_BUCKETS_SECONDS = {
        0.05, 0.1, 0.2, 0.3, 0.48, 0.75, 1, 2, 5, 10, 30, 60, 120, 300
    };

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Counter mPrompts =
            Counter.builder()
                    .name("rattanport_prompts")
                    .help("Prompts that ended, by length class, code and verdict")
                    .labelNames("length_class", "code", "verdict")
                    .register(mRegistry);
    private final Counter mActions =
            Counter.builder()
                    .name("rattanport_actions")
                    .help("Service calls that ended, by service, code and verdict")
                    .labelNames("service", "code", "verdict")
                    .register(mRegistry);
    private final Counter mOutputTokens =
            Counter.builder()
                    .name("rattanport_output_tokens")
                    .help("Output tokens sent to callers")
                    .register(mRegistry);
    private final Histogram mFirstToken =
            Histogram.builder()
                    .name("rattanport_first_token_seconds")
                    .help("Time from the request to the first token, by length class")
                    .labelNames("length_class")
                    .classicUpperBounds(FIRST_TOKEN_BUCKETS_SECONDS)
                    .register(mRegistry);
    private final Gauge mState =
            Gauge.builder()
                    .name("rattanport_state")
                    .help("Current values of this instance, by name")
                    .labelNames("name")
                    .register(mRegistry);

    public void countPrompt(String lengthClass, String code, String verdict) {
        mPrompts.labelValues(lengthClass, code, verdict).inc();
    }

    public void countAction(String service, String code, String verdict) {
        mActions.labelValues(service, code, verdict).inc();
    }

    public void observeFirstToken(String lengthClass, double seconds) {
        mFirstToken.labelValues(lengthClass).observe(seconds);
    }

    public void countOutputTokens(int tokens) {
        mOutputTokens.inc(tokens);
    }

    /** Returns all metrics in the text format of Prometheus. */
    public String toPrometheusText(PluginContext context) {
        updateState(context);
        try (ByteArrayOutputStream output = new ByteArrayOutputStream()) {
            PrometheusTextFormatWriter.create().write(output, mRegistry.scrape());
            return output.toString(StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw RattanportException.builder(ErrorCode.INTERNAL, "cannot write metrics")
                    .cause(e)
                    .build();
        }
    }

    private void updateState(PluginContext context) {
        context.find(InFlightRequests.class)
                .ifPresent(each -> setState("requests_in_flight", each.count()));
        context.find(Dispatcher.class)
                .ifPresent(each -> setState("queued_prompt_tokens", each.queuedTokens()));
        context.find(NettyPeerNetwork.class)
                .ifPresent(
                        each -> {
                            setState("peer_received_bytes", each.traffic().receivedBytes());
                            setState("peer_sent_bytes", each.traffic().sentBytes());
                        });
        context.find(Membership.class)
                .ifPresent(each -> setState("alive_members", each.aliveMembers().size()));
        context.find(MemoryReclaimer.class)
                .ifPresent(each -> setState("reclaimed_memory_pieces", each.releasedCount()));
        context.find(ActiveEnvironments.class)
                .ifPresent(
                        each -> {
                            setState("trial_version", each.activeVersion(Stage.TRIAL));
                            setState("production_version", each.activeVersion(Stage.PRODUCTION));
                        });
    }

    private void setState(String name, double value) {
        mState.labelValues(name).set(value);
    }
}
