package org.rattanport.daemon.command;

import com.beust.jcommander.Parameter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.rattanport.connectors.http.HttpClientRequest;
import org.rattanport.kernel.error.ErrorCode;

/** Stores a new version of the environment document. */
public final class EnvironmentPutCommand implements Command {
    private static final class Options extends ClientOptions {
        @Parameter(names = "--stage", description = "trial or production")
        private String mStage = "trial";

        @Parameter(names = "--file", required = true, description = "document")
        private String mFile = "";

        @Parameter(
                names = "--expected-version",
                required = true,
                description = "current version, on which the new one is based; 0 if there is none")
        private long mExpectedVersion;
    }

    private final Options mOptions = new Options();

    @Override
    public String name() {
        return "environment put";
    }

    @Override
    public String summary() {
        return "store a new version of the environment document";
    }

    @Override
    public Object options() {
        return mOptions;
    }

    @Override
    public int run(CommandOutput output) {
        String document = InputFiles.read(Path.of(mOptions.mFile), ErrorCode.INVALID_DOCUMENT);
        HttpClientRequest request =
                mOptions.requestBuilder("/operator/environment/" + mOptions.mStage)
                        .query("expected_version", Long.toString(mOptions.mExpectedVersion))
                        .put(document.getBytes(StandardCharsets.UTF_8));
        return mOptions.executeAndPrint(request, output);
    }
}
