package org.rattanport.daemon.command;

import com.beust.jcommander.Parameter;
import java.time.Duration;
import okhttp3.HttpUrl;
import okhttp3.Request;
import org.rattanport.connectors.http.HttpAnswer;
import org.rattanport.connectors.http.HttpCaller;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.SystemTimeSource;
import org.rattanport.kernel.time.TimeSource;

/** Options of commands that call an instance, and the call itself. */
public class ClientOptions {
    @Parameter(names = "--at", description = "IP and port of an instance")
    private String mAddress = "127.0.0.1:8080";

    @Parameter(names = "--key-variable", description = "environment variable with the key")
    private String mVariable = "RATTANPORT_KEY";

    @Parameter(names = "--timeout-seconds", description = "time that the call may take")
    private int mTimeoutSeconds = 60;

    private final TimeSource mTime = new SystemTimeSource();

    /** URL of a path at the instance. */
    HttpUrl.Builder url(String path) {
        return HttpUrl.get("http://" + mAddress + path).newBuilder();
    }

    Request.Builder request(HttpUrl.Builder url) {
        String key = System.getenv(mVariable);
        return new Request.Builder()
                .url(url.build())
                .header("Authorization", "Bearer " + (key == null ? "" : key))
                .header("Rattanport-Operator", System.getProperty("user.name", "unknown"));
    }

    /** Made when a call needs it, since every command is made to list them. */
    HttpCaller http() {
        return new HttpCaller(mTime);
    }

    Deadline deadline() {
        return Deadline.after(mTime, Duration.ofSeconds(mTimeoutSeconds));
    }

    int timeoutSeconds() {
        return mTimeoutSeconds;
    }

    /** Makes a call, prints its answer and returns the exit code. */
    int print(Request.Builder request, CommandOutput output) {
        HttpAnswer answer = http().exchange(request, deadline());
        (answer.isSuccess() ? output.results() : output.errors()).println(answer.text());
        return answer.isSuccess() ? ExitCode.SUCCESS : ExitCode.FAILED;
    }
}
