package org.rattanport.daemon.command;

import com.beust.jcommander.Parameter;
import org.rattanport.connectors.http.HttpClientRequest;
import org.rattanport.connectors.json.Json;

/** Promotes a trial version to production. */
public final class EnvironmentPromoteCommand implements Command {
    private static final class Options extends ClientOptions {
        @Parameter(
                names = "--trial-version",
                required = true,
                description = "trial version to promote")
        private long mTrialVersion;

        @Parameter(
                names = "--expected-version",
                required = true,
                description = "current production version; 0 if there is none")
        private long mExpectedVersion;
    }

    private final Options mOptions = new Options();

    @Override
    public String name() {
        return "environment promote";
    }

    @Override
    public String summary() {
        return "promote a trial version to production";
    }

    @Override
    public Object options() {
        return mOptions;
    }

    @Override
    public int run(CommandOutput output) {
        HttpClientRequest request =
                mOptions.requestBuilder("/operator/promotions")
                        .query("trial_version", Long.toString(mOptions.mTrialVersion))
                        .query("expected_version", Long.toString(mOptions.mExpectedVersion))
                        .post(Json.newObject());
        return mOptions.executeAndPrint(request, output);
    }
}
