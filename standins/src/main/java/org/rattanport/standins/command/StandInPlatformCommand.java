package org.rattanport.standins.command;

import com.beust.jcommander.Parameter;
import java.time.Duration;
import org.rattanport.daemon.command.Command;
import org.rattanport.daemon.command.CommandOutput;
import org.rattanport.standins.InstanceListStandIn;
import org.rattanport.standins.ObjectStandIn;
import org.rattanport.standins.TableStandIn;

/** Runs the stand-ins of the platform's services. */
public final class StandInPlatformCommand implements Command {
    private static final class Options {
        @Parameter(names = "--table-port", description = "port of the table service")
        private int mTablePort = 9001;

        @Parameter(names = "--object-port", description = "port of the object store")
        private int mObjectPort = 9002;

        @Parameter(names = "--list-port", description = "port of the instance list")
        private int mListPort = 9003;

        @Parameter(names = "--list-lag-millis", description = "lag of the instance list")
        private long mListLagMillis = 2000;
    }

    private final Options mOptions = new Options();

    @Override
    public String name() {
        return "standin platform";
    }

    @Override
    public String summary() {
        return "run stand-ins of table service, object store and instance list";
    }

    @Override
    public Object options() {
        return mOptions;
    }

    @Override
    public int run(CommandOutput output) {
        TableStandIn table = new TableStandIn(mOptions.mTablePort, 1);
        ObjectStandIn objects = new ObjectStandIn(mOptions.mObjectPort);
        InstanceListStandIn list =
                new InstanceListStandIn(
                        mOptions.mListPort, Duration.ofMillis(mOptions.mListLagMillis));
        return StandInProcess.serve(
                output,
                "table service "
                        + table.url()
                        + ", object store "
                        + objects.url()
                        + ", instance list "
                        + list.url());
    }
}
