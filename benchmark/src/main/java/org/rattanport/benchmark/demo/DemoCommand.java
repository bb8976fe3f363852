package org.rattanport.benchmark.demo;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.List;
import java.util.ServiceLoader;
import org.rattanport.benchmark.PromptTextGenerator;
import org.rattanport.connectors.json.Json;
import org.rattanport.daemon.command.Command;
import org.rattanport.daemon.command.CommandOutput;
import org.rattanport.daemon.command.ExitCode;
import org.rattanport.standins.engine.EngineProfile;
import org.rattanport.standins.fleet.Fleet;

/** Runs all scenarios on one fleet and checks each promise. */
public final class DemoCommand implements Command {
    private static final int INSTANCES = 3;
    private static final int ENGINES = 8;
    private static final double TIME_SCALE = 20;

    private static final class Options {
        @Parameter(names = "--json", description = "print the result as JSON")
        private boolean mIsJson;

        @Parameter(names = "--seed", description = "seed of injected faults")
        private long mSeed = 1;
    }

    private final Options mOptions = new Options();

    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String summary() {
        return "run the demo scenarios with stand-ins and check each promise";
    }

    @Override
    public Object options() {
        return mOptions;
    }

    @Override
    public int run(CommandOutput output) {
        PromiseChecks checks = new PromiseChecks();
        Fleet.Builder builder =
                Fleet.builder()
                        .instances(INSTANCES)
                        .engines(ENGINES, EngineProfile.defaults(TIME_SCALE))
                        .seed(mOptions.mSeed);
        try (Fleet fleet = builder.start()) {
            DemoContext context = new DemoContext(fleet, checks, PromptTextGenerator.load());
            scenarios().forEach(each -> run(each, context, output));
            printResult(context, output);
        }
        return checks.areAllKept() ? ExitCode.SUCCESS : ExitCode.FAILED;
    }

    private void run(Scenario scenario, DemoContext context, CommandOutput output) {
        long startNanos = System.nanoTime();
        scenario.run(context);
        if (!mOptions.mIsJson) {
            output.results()
                    .println(
                            String.format(
                                    "%5.1f s  %s",
                                    (System.nanoTime() - startNanos) / 1e9, scenario.title()));
        }
    }

    private static List<Scenario> scenarios() {
        return ServiceLoader.load(Scenario.class).stream()
                .map(ServiceLoader.Provider::get)
                .sorted(Comparator.comparingInt(Scenario::order))
                .toList();
    }

    private void printResult(DemoContext context, CommandOutput output) {
        if (mOptions.mIsJson) {
            output.results().println(Json.toJsonString(toJson(context)));
            return;
        }
        output.results().println();
        output.results()
                .println(
                        "time to first token, engines "
                                + TIME_SCALE
                                + " times as fast as real ones");
        context.firstTokenSeconds()
                .forEach(
                        (lengthClass, seconds) ->
                                output.results()
                                        .println(
                                                String.format(
                                                        "  %-10s %3d prompts  median %7.3f s"
                                                                + "  worst %7.3f s",
                                                        lengthClass,
                                                        seconds.size(),
                                                        median(seconds),
                                                        seconds.stream()
                                                                .max(Double::compare)
                                                                .orElse(0.0))));
        output.results().println();
        output.results()
                .println("promise                                                    cases broken");
        for (Promise promise : Promise.values()) {
            output.results()
                    .println(
                            String.format(
                                    "  %-56s %5d %6d",
                                    promise.text(),
                                    context.promiseChecks().checkedCases(promise),
                                    context.promiseChecks().violations(promise)));
        }
        context.promiseChecks()
                .failures()
                .forEach(each -> output.errors().println("broken: " + each));
    }

    private static ObjectNode toJson(DemoContext context) {
        ObjectNode root = Json.newObject();
        root.put("time_scale", TIME_SCALE);
        ObjectNode firstTokens = root.putObject("median_first_token_seconds");
        context.firstTokenSeconds()
                .forEach((lengthClass, seconds) -> firstTokens.put(lengthClass, median(seconds)));
        ObjectNode promises = root.putObject("promises");
        for (Promise promise : Promise.values()) {
            promises.putObject(promise.name().toLowerCase(java.util.Locale.ROOT))
                    .put("cases", context.promiseChecks().checkedCases(promise))
                    .put("broken", context.promiseChecks().violations(promise));
        }
        context.promiseChecks().failures().forEach(root.putArray("failures")::add);
        root.put("kept", context.promiseChecks().areAllKept());
        return root;
    }

    private static double median(List<Double> values) {
        return values.stream().sorted().skip(values.size() / 2).findFirst().orElse(0.0);
    }
}
