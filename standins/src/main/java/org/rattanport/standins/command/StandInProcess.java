package org.rattanport.standins.command;

import java.util.concurrent.CountDownLatch;
import org.rattanport.connectors.http.HttpClient;
import org.rattanport.connectors.http.HttpClientRequest;
import org.rattanport.connectors.http.HttpClientResponse;
import org.rattanport.connectors.http.HttpTransport;
import org.rattanport.connectors.json.Json;
import org.rattanport.daemon.command.CommandOutput;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.SystemTimeSource;

/** Shared steps of the commands that run a stand-in in a separate process. */
final class StandInProcess {
    private static final java.time.Duration LIST_TIMEOUT = java.time.Duration.ofSeconds(5);

    private StandInProcess() {}

    /** Adds a target to the stand-in for the instance list. */
    static void listTarget(String listAddress, Target target) {
        SystemTimeSource time = new SystemTimeSource();
        var body =
                Json.newObject()
                        .put("name", target.id().name())
                        .put("incarnation", target.id().incarnation())
                        .put("kind", target.kind().name())
                        .put("pool", target.pool())
                        .put("address", target.address())
                        .put("data_centre", target.dataCentre());
        try (HttpTransport transport = new HttpTransport()) {
            HttpClientResponse response =
                    HttpClient.withoutConnectionPool(transport, time)
                            .execute(
                                    HttpClientRequest.builder(listAddress, "/targets").put(body),
                                    Deadline.after(time, LIST_TIMEOUT));
            requireSuccess(response);
        }
    }

    private static void requireSuccess(HttpClientResponse response) {
        if (!response.isSuccess()) {
            throw new RattanportException(
                    ErrorCode.STORE_UNAVAILABLE,
                    "the instance list refused the target: " + response.text());
        }
    }

    /** Prints the addresses of the stand-ins, then blocks until the process is ended. */
    static int runUntilInterrupted(CommandOutput output, String addresses) {
        output.results().println(addresses);
        output.results().flush();
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        }
        return 0;
    }
}
