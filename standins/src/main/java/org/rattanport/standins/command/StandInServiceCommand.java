package org.rattanport.standins.command;

import com.beust.jcommander.Parameter;
import org.rattanport.daemon.command.Command;
import org.rattanport.daemon.command.CommandOutput;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetKind;
import org.rattanport.standins.ServiceStandIn;

/** Runs one stand-in target of a plain service and adds it to the instance list. */
public final class StandInServiceCommand implements Command {
    private static final class Options {
        @Parameter(names = "--name", description = "name of the target")
        private String mName = "dispatch-1";

        @Parameter(names = "--service", description = "service of the target")
        private String mService = "dispatch";

        @Parameter(names = "--list", description = "IP address and port of the instance list")
        private String mList = "127.0.0.1:9003";
    }

    private final Options mOptions = new Options();

    @Override
    public String name() {
        return "standin service";
    }

    @Override
    public String summary() {
        return "run a stand-in of a plain service and add it to the instance list";
    }

    @Override
    public Object options() {
        return mOptions;
    }

    @Override
    public int run(CommandOutput output) {
        ServiceStandIn service = new ServiceStandIn(0, new ServiceStandIn.RunCounter(), 1);
        StandInProcess.listTarget(
                mOptions.mList,
                new Target(
                        new TargetId(mOptions.mName, 1),
                        TargetKind.SERVICE,
                        mOptions.mService,
                        service.address(),
                        "dc-1",
                        false));
        return StandInProcess.runUntilInterrupted(output, "service " + service.address());
    }
}
