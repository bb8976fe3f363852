package org.rattanport.standins.command;

import com.beust.jcommander.Parameter;
import org.rattanport.daemon.command.Command;
import org.rattanport.daemon.command.CommandOutput;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetKind;
import org.rattanport.standins.engine.EngineProfile;
import org.rattanport.standins.engine.EngineStandIn;

/** Runs stand-in engines and adds them to the instance list. */
public final class StandInEngineCommand implements Command {
    private static final class Options {
        @Parameter(
                names = "--name",
                description = "name; with several engines, a number is appended")
        private String mName = "engine";

        @Parameter(names = "--count", description = "number of engines in this process")
        private int mCount = 1;

        @Parameter(names = "--model", description = "model that the engines serve")
        private String mModel = "assistant";

        @Parameter(names = "--list", description = "IP address and port of the instance list")
        private String mList = "127.0.0.1:9003";

        @Parameter(names = "--time-scale", description = "engine seconds in one second")
        private double mTimeScale = 1;
    }

    private final Options mOptions = new Options();

    @Override
    public String name() {
        return "standin engine";
    }

    @Override
    public String summary() {
        return "run stand-in engines and add them to the instance list";
    }

    @Override
    public Object options() {
        return mOptions;
    }

    @Override
    public int run(CommandOutput output) {
        StringBuilder line = new StringBuilder("engines");
        for (int i = 0; i < mOptions.mCount; i++) {
            String name = mOptions.mCount == 1 ? mOptions.mName : mOptions.mName + "-" + i;
            EngineStandIn engine =
                    new EngineStandIn(
                            name,
                            mOptions.mModel,
                            EngineProfile.defaults(mOptions.mTimeScale),
                            false);
            StandInProcess.listTarget(
                    mOptions.mList,
                    new Target(
                            new TargetId(name, engine.incarnation()),
                            TargetKind.ENGINE,
                            mOptions.mModel,
                            engine.address(),
                            "dc-1",
                            false));
            line.append(' ').append(engine.address());
        }
        return StandInProcess.runUntilInterrupted(output, line.toString());
    }
}
