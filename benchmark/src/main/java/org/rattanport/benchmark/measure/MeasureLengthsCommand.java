package org.rattanport.benchmark.measure;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.rattanport.benchmark.PromptTextGenerator;
import org.rattanport.connectors.json.Json;
import org.rattanport.daemon.command.Command;
import org.rattanport.daemon.command.CommandOutput;
import org.rattanport.daemon.command.ExitCode;
import org.rattanport.kernel.settings.PolicyChoice;

/** Compares placement policies on the same arrivals of prompts of different lengths. */
public final class MeasureLengthsCommand implements Command {
    private static final List<PolicyChoice> POLICIES =
            List.of(
                    new PolicyChoice("round-robin", false),
                    new PolicyChoice("least-outstanding", false),
                    PolicyChoice.DEFAULT);
    private static final List<String> LENGTH_CLASSES = List.of("short", "middle", "long");

    private static final class Options {
        @Parameter(names = "--seed", description = "seed of the arrivals")
        private long mSeed = 1;

        @Parameter(names = "--json", description = "print the result as JSON")
        private boolean mIsJson;

        @Parameter(names = "--workload", description = "haneul, cordillera, burst or all")
        private String mWorkload = "all";

        @Parameter(names = "--seconds", description = "duration of each run in engine seconds")
        private double mSeconds = 120;

        @Parameter(names = "--time-scale", description = "engine seconds in one second")
        private double mTimeScale = 4;

        @Parameter(names = "--instances", description = "number of entry instances")
        private int mInstances = 6;

        @Parameter(names = "--load", description = "offered load as a share of capacity")
        private double mLoad = 0.7;

        @Parameter(names = "--policy", description = "measure only this placement policy")
        private String mPolicy = "";
    }

    private final Options mOptions = new Options();
    private final ArrayNode mRows = Json.MAPPER.createArrayNode();

    @Override
    public String name() {
        return "measure lengths";
    }

    @Override
    public String summary() {
        return "compare placement policies for prompts of different lengths";
    }

    @Override
    public Object options() {
        return mOptions;
    }

    @Override
    public int run(CommandOutput output) {
        LoadGenerator generator =
                new LoadGenerator(
                        mOptions.mInstances, mOptions.mTimeScale, PromptTextGenerator.load());
        printLine(
                output,
                String.format(
                        "seed %d, %d instances, time scale %.1f, %.0f s of engine time a run;"
                                + " times in engine seconds",
                        mOptions.mSeed,
                        mOptions.mInstances,
                        mOptions.mTimeScale,
                        mOptions.mSeconds));
        for (Workload workload : workloads()) {
            for (PolicyChoice policy : policies()) {
                measure(generator, workload, policy, output);
            }
        }
        if (mOptions.mIsJson) {
            output.results().println(Json.toJsonString(mRows));
        }
        return ExitCode.SUCCESS;
    }

    private List<PolicyChoice> policies() {
        return POLICIES.stream()
                .filter(
                        each ->
                                mOptions.mPolicy.isEmpty()
                                        || each.placement().equals(mOptions.mPolicy))
                .toList();
    }

    private List<Workload> workloads() {
        List<Workload> all = new ArrayList<>();
        all.add(Workload.haneul(mOptions.mLoad));
        all.add(Workload.cordillera(mOptions.mLoad));
        all.add(Workload.haneul(1.0).withName("burst at capacity"));
        all.add(Workload.haneul(2.0).withName("burst at twice capacity"));
        String selected = mOptions.mWorkload;
        return all.stream()
                .filter(each -> selected.equals("all") || each.name().startsWith(selected))
                .toList();
    }

    private void measure(
            LoadGenerator generator, Workload workload, PolicyChoice policy, CommandOutput output) {
        RunStatistics mixedLoad =
                new RunStatistics(
                        generator.run(
                                workload, policy, mOptions.mSeed, mOptions.mSeconds, each -> true),
                        mOptions.mSeconds);
        boolean isBurst = workload.name().startsWith("burst");
        double isolatedSeconds =
                isBurst ? 0 : isolatedShortFirstTokenSeconds(generator, workload, policy);
        addRow(workload, policy, mixedLoad, isolatedSeconds);
        printRun(output, workload, policy, mixedLoad, isolatedSeconds);
    }

    /** Measures the 95th percentile of the same short prompts without the longer prompts. */
    private double isolatedShortFirstTokenSeconds(
            LoadGenerator generator, Workload workload, PolicyChoice policy) {
        return new RunStatistics(
                        generator.run(
                                workload,
                                policy,
                                mOptions.mSeed,
                                mOptions.mSeconds,
                                each -> each.lengthClass().name().equals("short")),
                        mOptions.mSeconds)
                .firstTokenSeconds("short", 95);
    }

    private void addRow(
            Workload workload,
            PolicyChoice policy,
            RunStatistics statistics,
            double isolatedSeconds) {
        ObjectNode row = mRows.addObject();
        row.put("workload", workload.name()).put("policy", policy.placement());
        for (String each : LENGTH_CLASSES) {
            ObjectNode node = row.putObject(each);
            node.put("sent", statistics.sent(each)).put("answered", statistics.answered(each));
            node.put("first_token_p50", statistics.firstTokenSeconds(each, 50));
            node.put("first_token_p95", statistics.firstTokenSeconds(each, 95));
            node.put("first_token_p99", statistics.firstTokenSeconds(each, 99));
            node.put("tokens_per_second", statistics.tokensPerSecond(each));
        }
        if (isolatedSeconds > 0) {
            row.put(
                    "short_slowdown_p95",
                    statistics.firstTokenSeconds("short", 95) / isolatedSeconds);
        }
        row.put("goodput", statistics.goodput());
        row.put("refused_share", statistics.refusedShare());
        row.put("failed_after_admission", statistics.failedAfterAdmission());
        row.put("ended_late", statistics.endedLate());
        row.put("fairness", statistics.fairnessIndex());
    }

    private void printRun(
            CommandOutput output,
            Workload workload,
            PolicyChoice policy,
            RunStatistics statistics,
            double isolatedSeconds) {
        printLine(output, "");
        printLine(output, workload.name() + ", " + policy.placement());
        for (String each : LENGTH_CLASSES) {
            printLine(
                    output,
                    String.format(
                            "  %-7s %5d sent %5d answered  first token p50 %7.2f p95 %7.2f p99"
                                    + " %7.2f  %7.0f tokens/s  %s",
                            each,
                            statistics.sent(each),
                            statistics.answered(each),
                            statistics.firstTokenSeconds(each, 50),
                            statistics.firstTokenSeconds(each, 95),
                            statistics.firstTokenSeconds(each, 99),
                            statistics.tokensPerSecond(each),
                            LogarithmicBar.draw(statistics.firstTokenSeconds(each, 95))));
        }
        String slowdown =
                isolatedSeconds > 0
                        ? String.format(
                                "short p95 slowdown %.2f (alone %.2f)  ",
                                statistics.firstTokenSeconds("short", 95) / isolatedSeconds,
                                isolatedSeconds)
                        : "";
        printLine(
                output,
                String.format(
                        "  %sgoodput %.0f tokens/s  refused %.1f%%  failed after admission %d "
                                + " ended late %d  fairness %.3f",
                        slowdown,
                        statistics.goodput(),
                        100 * statistics.refusedShare(),
                        statistics.failedAfterAdmission(),
                        statistics.endedLate(),
                        statistics.fairnessIndex()));
    }

    private void printLine(CommandOutput output, String line) {
        if (!mOptions.mIsJson) {
            output.results().println(line);
            output.results().flush();
        }
    }
}
