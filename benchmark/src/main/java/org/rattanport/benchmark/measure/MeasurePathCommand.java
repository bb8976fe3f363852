package org.rattanport.benchmark.measure;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.rattanport.benchmark.PromptTextGenerator;
import org.rattanport.benchmark.demo.DemoContext;
import org.rattanport.connectors.json.Json;
import org.rattanport.daemon.command.Command;
import org.rattanport.daemon.command.CommandOutput;
import org.rattanport.daemon.command.ExitCode;
import org.rattanport.standins.engine.EngineProfile;
import org.rattanport.standins.fleet.CallerClient;
import org.rattanport.standins.fleet.Fleet;
import org.rattanport.standins.fleet.FleetDocument;
import org.rattanport.standins.fleet.PromptOutcome;

/** Measures the latency that one entry instance adds, and the CPU time of forwarding. */
public final class MeasurePathCommand implements Command {
    private static final double TIME_SCALE = 40;
    private static final int WARM_UP_PROMPTS = 2000;
    private static final int PROMPT_TOKENS = 500;
    private static final int OUTPUT_TOKENS = 40;
    private static final int PARALLEL_CALLERS = 16;
    private static final int PARALLEL_PROMPTS = 600;
    private static final double NANOS_PER_MICRO = 1000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int SIGNIFICANT_DIGITS = 3;

    private static final class Options {
        @Parameter(
                names = "--prompts",
                description = "prompts sent directly, and through the instance")
        private int mPrompts = 500;

        @Parameter(names = "--json", description = "print the result as JSON")
        private boolean mIsJson;
    }

    private final Options mOptions = new Options();
    private final PromptTextGenerator mPromptText = PromptTextGenerator.load();

    @Override
    public String name() {
        return "measure path";
    }

    @Override
    public String summary() {
        return "measure the latency that one entry instance adds to an answer";
    }

    @Override
    public Object options() {
        return mOptions;
    }

    @Override
    public int run(CommandOutput output) {
        ObjectNode result = Json.newObject();
        Fleet.Builder builder =
                Fleet.builder()
                        .instances(1)
                        .engines(2, EngineProfile.defaults(TIME_SCALE))
                        .document(FleetDocument.withAccounts(2));
        try (Fleet fleet = builder.start()) {
            measureLatency(fleet, result);
            measureForwarding(fleet, result);
        }
        ResultPrinter.print(result, mOptions.mIsJson, output);
        return ExitCode.SUCCESS;
    }

    private void measureLatency(Fleet fleet, ObjectNode result) {
        String engineAddress = fleet.engines().getFirst().address();
        String instanceAddress = fleet.callerAddress(0);
        for (int i = 0; i < WARM_UP_PROMPTS; i++) {
            send(fleet, engineAddress, "warm-direct-" + i);
            send(fleet, instanceAddress, "warm-through-" + i);
        }
        Latencies directLatencies = new Latencies();
        Latencies instanceLatencies = new Latencies();
        // The loop alternates between both paths, so that other load of the machine affects both.
        for (int i = 0; i < mOptions.mPrompts; i++) {
            directLatencies.add(send(fleet, engineAddress, "direct-" + i));
            instanceLatencies.add(send(fleet, instanceAddress, "through-" + i));
        }
        for (int percentile : List.of(50, 95)) {
            result.put(
                    "added_first_token_micros_p" + percentile,
                    instanceLatencies.firstTokenMicros(percentile)
                            - directLatencies.firstTokenMicros(percentile));
            result.put(
                    "added_between_tokens_micros_p" + percentile,
                    instanceLatencies.tokenGapMicros(percentile)
                            - directLatencies.tokenGapMicros(percentile));
        }
        result.put("direct_first_token_micros_p50", directLatencies.firstTokenMicros(50));
        result.put("through_first_token_micros_p50", instanceLatencies.firstTokenMicros(50));
    }

    private PromptOutcome send(Fleet fleet, String address, String name) {
        return fleet.client().sendPrompt(address, prompt(name));
    }

    private CallerClient.Prompt prompt(String name) {
        return new CallerClient.Prompt(
                FleetDocument.accountKey(0),
                FleetDocument.MODEL,
                mPromptText.generate(name, PROMPT_TOKENS),
                OUTPUT_TOKENS,
                30,
                Optional.empty());
    }

    /**
     * Measures the tokens forwarded per CPU second. Callers and engines share the process with the
     * instance, so the result is a lower bound.
     */
    private void measureForwarding(Fleet fleet, ObjectNode result) {
        var operatingSystem =
                (com.sun.management.OperatingSystemMXBean)
                        ManagementFactory.getOperatingSystemMXBean();
        long cpuNanosBefore = operatingSystem.getProcessCpuTime();
        int promptsPerCaller = PARALLEL_PROMPTS / PARALLEL_CALLERS;
        List<Integer> tokens =
                DemoContext.runConcurrently(
                        IntStream.range(0, PARALLEL_CALLERS)
                                .<Callable<Integer>>mapToObj(
                                        i -> () -> sendMany(fleet, i, promptsPerCaller)));
        double cpuSeconds =
                (operatingSystem.getProcessCpuTime() - cpuNanosBefore) / NANOS_PER_SECOND;
        int totalTokens = tokens.stream().mapToInt(Integer::intValue).sum();
        result.put("tokens_per_cpu_second_whole_process", totalTokens / cpuSeconds);
        result.put("cpu_micros_per_request_whole_process", cpuSeconds * 1e6 / PARALLEL_PROMPTS);
    }

    private int sendMany(Fleet fleet, int caller, int count) {
        return IntStream.range(0, count)
                .map(i -> send(fleet, fleet.callerAddress(0), "many-" + caller + "-" + i).tokens())
                .sum();
    }

    private static final class Latencies {
        private final Histogram mFirstTokenNanos = new Histogram(SIGNIFICANT_DIGITS);
        private final Histogram mTokenGapNanos = new Histogram(SIGNIFICANT_DIGITS);

        void add(PromptOutcome outcome) {
            if (outcome.tokens() > 1) {
                mFirstTokenNanos.recordValue(outcome.firstTokenNanos());
                long nanosAfterFirstToken = outcome.totalNanos() - outcome.firstTokenNanos();
                mTokenGapNanos.recordValue(nanosAfterFirstToken / (outcome.tokens() - 1));
            }
        }

        double firstTokenMicros(int percentile) {
            return mFirstTokenNanos.getValueAtPercentile(percentile) / NANOS_PER_MICRO;
        }

        double tokenGapMicros(int percentile) {
            return mTokenGapNanos.getValueAtPercentile(percentile) / NANOS_PER_MICRO;
        }
    }
}
