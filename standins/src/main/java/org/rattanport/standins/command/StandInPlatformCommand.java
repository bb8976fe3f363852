package org.rattanport.standins.command;

import com.beust.jcommander.Parameter;
import java.time.Duration;
import java.util.List;
import org.rattanport.daemon.command.Command;
import org.rattanport.daemon.command.CommandOutput;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.platform.InstanceList.ListedInstance;
import org.rattanport.standins.InstanceListStandIn;
import org.rattanport.standins.ObjectStoreStandIn;
import org.rattanport.standins.TableStandIn;

/** Runs the stand-ins for the platform's services. */
public final class StandInPlatformCommand implements Command {
    private static final int INSTANCE_FIELDS = 3;

    private static final class Options {
        @Parameter(names = "--table-port", description = "port of the table service")
        private int mTablePort = 9001;

        @Parameter(names = "--object-port", description = "port of the object store")
        private int mObjectPort = 9002;

        @Parameter(names = "--list-port", description = "port of the instance list")
        private int mListPort = 9003;

        @Parameter(names = "--list-lag-millis", description = "lag of changes to the instance list")
        private long mListLagMillis = 2000;

        @Parameter(
                names = "--instances",
                description = "entry instances to list, each as name/caller-address/peer-address")
        private List<String> mInstances =
                List.of(
                        "entry-1/127.0.0.1:8081/127.0.0.1:8181",
                        "entry-2/127.0.0.1:8082/127.0.0.1:8182",
                        "entry-3/127.0.0.1:8083/127.0.0.1:8183");
    }

    private final Options mOptions = new Options();

    @Override
    public String name() {
        return "standin platform";
    }

    @Override
    public String summary() {
        return "run stand-ins for the table service, the object store and the instance list";
    }

    @Override
    public Object options() {
        return mOptions;
    }

    @Override
    public int run(CommandOutput output) {
        TableStandIn table = new TableStandIn(mOptions.mTablePort, 1);
        ObjectStoreStandIn objects = new ObjectStoreStandIn(mOptions.mObjectPort);
        InstanceListStandIn list =
                new InstanceListStandIn(
                        mOptions.mListPort, Duration.ofMillis(mOptions.mListLagMillis));
        mOptions.mInstances.forEach(each -> list.put(parseInstance(each)));
        return StandInProcess.runUntilInterrupted(
                output,
                "table service "
                        + table.url()
                        + ", object store "
                        + objects.url()
                        + ", instance list "
                        + list.url());
    }

    private static ListedInstance parseInstance(String entry) {
        String[] fields = entry.split("/");
        if (fields.length != INSTANCE_FIELDS) {
            throw new RattanportException(
                    ErrorCode.INVALID_SETTINGS,
                    "--instances: \"" + entry + "\" is not name/caller-address/peer-address");
        }
        return new ListedInstance(fields[0], fields[1], fields[2], "dc-1", false);
    }
}
