package org.rattanport.daemon.command;

import com.beust.jcommander.Parameter;
import java.time.Duration;
import java.util.function.ToIntFunction;
import org.rattanport.connectors.http.HttpClient;
import org.rattanport.connectors.http.HttpClientRequest;
import org.rattanport.connectors.http.HttpClientResponse;
import org.rattanport.connectors.http.HttpResponseStream;
import org.rattanport.connectors.http.HttpTransport;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.SystemTimeSource;
import org.rattanport.kernel.time.TimeSource;

/** Options of commands that send a request to an instance; also sends the request. */
public class ClientOptions {
    @Parameter(names = "--at", description = "IP address and port of an instance")
    private String mAddress = "127.0.0.1:8080";

    @Parameter(names = "--key-variable", description = "environment variable that contains the key")
    private String mKeyVariable = "RATTANPORT_KEY";

    @Parameter(names = "--timeout-seconds", description = "time limit of the request")
    private int mTimeoutSeconds = 60;

    private final TimeSource mTime = new SystemTimeSource();

    /** Returns a builder of a request for a path of the instance. */
    HttpClientRequest.Builder requestBuilder(String path) {
        String key = System.getenv(mKeyVariable);
        return HttpClientRequest.builder(mAddress, path)
                .header("Authorization", "Bearer " + (key == null ? "" : key))
                .header("Rattanport-Operator", System.getProperty("user.name", "unknown"));
    }

    /** Sends a request and passes the response to the handler, which reads it while it arrives. */
    int execute(HttpClientRequest request, ToIntFunction<HttpResponseStream> responseHandler) {
        try (HttpTransport transport = new HttpTransport();
                HttpResponseStream response =
                        HttpClient.withoutConnectionPool(transport, mTime)
                                .executeStreaming(request, deadline(), new Cancellation())) {
            return responseHandler.applyAsInt(response);
        }
    }

    private Deadline deadline() {
        return Deadline.after(mTime, Duration.ofSeconds(mTimeoutSeconds));
    }

    int timeoutSeconds() {
        return mTimeoutSeconds;
    }

    /** Sends a request, prints the response and returns the exit code. */
    int executeAndPrint(HttpClientRequest request, CommandOutput output) {
        return execute(request, stream -> printResponse(stream.readAll(), output));
    }

    private static int printResponse(HttpClientResponse response, CommandOutput output) {
        (response.isSuccess() ? output.results() : output.errors()).println(response.text());
        return response.isSuccess() ? ExitCode.SUCCESS : ExitCode.FAILED;
    }
}
