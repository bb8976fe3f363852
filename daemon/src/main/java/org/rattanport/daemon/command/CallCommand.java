package org.rattanport.daemon.command;

import com.beust.jcommander.Parameter;
import java.nio.charset.StandardCharsets;
import org.rattanport.connectors.http.HttpClientRequest;

/** Calls an operation of a plain service. */
public final class CallCommand implements Command {
    private static final class Options extends ClientOptions {
        @Parameter(names = "--service", required = true, description = "service name")
        private String mService = "";

        @Parameter(names = "--operation", required = true, description = "operation name")
        private String mOperation = "";

        @Parameter(names = "--body", description = "JSON body")
        private String mBody = "{}";

        @Parameter(
                names = "--idempotency-key",
                description =
                        "key that makes retries safe; required for operations that are not"
                                + " idempotent")
        private String mIdempotencyKey = "";
    }

    private final Options mOptions = new Options();

    @Override
    public String name() {
        return "call";
    }

    @Override
    public String summary() {
        return "call an operation of a plain service";
    }

    @Override
    public Object options() {
        return mOptions;
    }

    @Override
    public int run(CommandOutput output) {
        HttpClientRequest.Builder request =
                mOptions.requestBuilder(
                        "/v1/services/" + mOptions.mService + "/" + mOptions.mOperation);
        if (!mOptions.mIdempotencyKey.isEmpty()) {
            request.header("Idempotency-Key", mOptions.mIdempotencyKey);
        }
        return mOptions.executeAndPrint(
                request.post(mOptions.mBody.getBytes(StandardCharsets.UTF_8)), output);
    }
}
