package org.rattanport.benchmark.measure;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.rattanport.daemon.command.Command;
import org.rattanport.daemon.command.CommandOutput;
import org.rattanport.daemon.command.ExitCode;

/** Runs the micro-benchmark of placement in this process. */
public final class MeasurePlacementCommand implements Command {
    private static final class Options {}

    private final Options mOptions = new Options();

    @Override
    public String name() {
        return "measure placement";
    }

    @Override
    public String summary() {
        return "measure the time of one placement decision";
    }

    @Override
    public Object options() {
        return mOptions;
    }

    @Override
    public int run(CommandOutput output) {
        try {
            new Runner(
                            new OptionsBuilder()
                                    .include(PlacementBenchmark.class.getSimpleName())
                                    // Processes of this project start no child processes.
                                    .forks(0)
                                    .warmupIterations(3)
                                    .warmupTime(new TimeValue(2, TimeUnit.SECONDS))
                                    .measurementIterations(3)
                                    .measurementTime(new TimeValue(3, TimeUnit.SECONDS))
                                    .build())
                    .run();
            return ExitCode.SUCCESS;
        } catch (RunnerException e) {
            output.errors().println("the placement benchmark failed: " + e.getMessage());
            return ExitCode.FAILED;
        }
    }
}
