package org.rattanport.daemon.command;

import com.beust.jcommander.Parameter;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Prints the recorded steps of a request to an entry instance, or where a gateway instance would
 * place a prompt now.
 */
public final class ExplainCommand implements Command {
    private static final class Options extends ClientOptions {
        @Parameter(description = "[REQUEST-ID]")
        private String mRequestId = "";

        @Parameter(
                names = "--route",
                description = "route of the prompt; --at names the metrics address of a gateway")
        private String mRoute = "";

        @Parameter(names = "--account", description = "name of the client account")
        private String mAccount = "";

        @Parameter(names = "--prompt-tokens", description = "length of the prompt, in tokens")
        private String mPromptTokens = "";

        @Parameter(names = "--output-tokens", description = "maximum length of the answer")
        private String mOutputTokens = "";

        @Parameter(names = "--prefix", description = "parts of the prompt: ID:TOKENS,ID:TOKENS,...")
        private String mPrefix = "";

        @Parameter(names = "--exclude", description = "ids of engines that may not be used")
        private String mExcluded = "";

        @Parameter(names = "--output", description = "text or json")
        private String mOutput = "text";
    }

    private final Options mOptions = new Options();

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String summary() {
        return "show the recorded steps of a request, or where a prompt would be placed now";
    }

    @Override
    public Object options() {
        return mOptions;
    }

    @Override
    public int run(CommandOutput output) {
        if (mOptions.mRequestId.isEmpty() == mOptions.mRoute.isEmpty()) {
            output.errors().println("explain: either REQUEST-ID or --route is required");
            return ExitCode.USAGE;
        }
        String path =
                mOptions.mRoute.isEmpty()
                        ? "/operator/requests/" + mOptions.mRequestId
                        : "/explain?" + query();
        return mOptions.executeAndPrint(mOptions.requestBuilder(path).get(), output);
    }

    private String query() {
        Map<String, String> parameters = new LinkedHashMap<>();
        parameters.put("route", mOptions.mRoute);
        parameters.put("account", mOptions.mAccount);
        parameters.put("prompt_tokens", mOptions.mPromptTokens);
        parameters.put("output_tokens", mOptions.mOutputTokens);
        parameters.put("prefix", mOptions.mPrefix);
        parameters.put("exclude", mOptions.mExcluded);
        parameters.put("output", mOptions.mOutput);
        return parameters.entrySet().stream()
                .filter(each -> !each.getValue().isEmpty())
                .map(each -> each.getKey() + "=" + encode(each.getValue()))
                .collect(Collectors.joining("&"));
    }

    private static String encode(String value) {
        return URLEncoder.encode(value, StandardCharsets.UTF_8);
    }
}
