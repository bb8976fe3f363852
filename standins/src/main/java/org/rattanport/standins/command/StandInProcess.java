package org.rattanport.standins.command;

import java.util.concurrent.CountDownLatch;
import org.rattanport.connectors.http.HttpAnswer;
import org.rattanport.connectors.http.HttpCall;
import org.rattanport.connectors.http.HttpCaller;
import org.rattanport.connectors.http.HttpTransport;
import org.rattanport.connectors.json.Json;
import org.rattanport.daemon.command.CommandOutput;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.SystemTimeSource;

/** What the commands share that run a stand-in as a process of its own. */
final class StandInProcess {
    private static final java.time.Duration LIST_TIMEOUT = java.time.Duration.ofSeconds(5);

    private StandInProcess() {}

    /** Adds a target to the stand-in of the instance list. */
    static void listTarget(String listAddress, Target target) {
        SystemTimeSource time = new SystemTimeSource();
        var body =
                Json.object()
                        .put("name", target.id().name())
                        .put("incarnation", target.id().incarnation())
                        .put("kind", target.kind().name())
                        .put("pool", target.pool())
                        .put("address", target.address())
                        .put("data_centre", target.dataCentre());
        try (HttpTransport transport = new HttpTransport()) {
            HttpAnswer answer =
                    HttpCaller.onNewConnections(transport, time)
                            .exchange(
                                    HttpCall.to(listAddress, "/targets").put(body),
                                    Deadline.after(time, LIST_TIMEOUT));
            requireSuccess(answer);
        }
    }

    private static void requireSuccess(HttpAnswer answer) {
        if (!answer.isSuccess()) {
            throw new RattanportException(
                    ErrorCode.STORE_UNAVAILABLE, "the instance list refused: " + answer.text());
        }
    }

    /** Tells where the stand-in serves and keeps the process until it is ended. */
    static int runUntilInterrupted(CommandOutput output, String line) {
        output.results().println(line);
        output.results().flush();
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        }
        return 0;
    }
}
