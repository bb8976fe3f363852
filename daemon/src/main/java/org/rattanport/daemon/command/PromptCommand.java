package org.rattanport.daemon.command;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;
import org.rattanport.connectors.http.HttpClientRequest;
import org.rattanport.connectors.http.HttpResponseStream;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.error.ErrorCode;

/** Sends a prompt and prints the answer while it arrives. */
public final class PromptCommand implements Command {
    private static final String DATA_PREFIX = "data: ";
    private static final int SUCCESS = 200;

    private static final class Options extends ClientOptions {
        @Parameter(names = "--file", required = true, description = "file that contains the prompt")
        private String mFile = "";

        @Parameter(names = "--model", required = true, description = "model name")
        private String mModel = "";

        @Parameter(names = "--max-tokens", description = "maximum length of the answer, in tokens")
        private int mMaxTokens = 128;
    }

    private final Options mOptions = new Options();

    @Override
    public String name() {
        return "prompt";
    }

    @Override
    public String summary() {
        return "send a prompt and print the answer while it arrives";
    }

    @Override
    public Object options() {
        return mOptions;
    }

    @Override
    public int run(CommandOutput output) {
        String prompt = InputFiles.read(Path.of(mOptions.mFile), ErrorCode.INVALID_REQUEST);
        var body = Json.newObject();
        body.put("model", mOptions.mModel).put("stream", true);
        body.put("max_tokens", mOptions.mMaxTokens);
        body.putArray("messages").addObject().put("role", "user").put("content", prompt);
        HttpClientRequest request =
                mOptions.requestBuilder("/v1/chat/completions")
                        .header(
                                "Rattanport-Timeout-Seconds",
                                Integer.toString(mOptions.timeoutSeconds()))
                        .post(body);
        return mOptions.execute(request, response -> printAnswer(response, output));
    }

    private static int printAnswer(HttpResponseStream response, CommandOutput output) {
        if (response.status() != SUCCESS) {
            output.errors().println(response.readAll().text());
            return ExitCode.FAILED;
        }
        for (Optional<String> line = response.nextLine();
                line.isPresent();
                line = response.nextLine()) {
            if (line.get().equals(DATA_PREFIX + "[DONE]")) {
                output.results().println();
                return ExitCode.SUCCESS;
            }
            if (line.get().startsWith(DATA_PREFIX)) {
                byte[] data =
                        line.get().substring(DATA_PREFIX.length()).getBytes(StandardCharsets.UTF_8);
                JsonNode event = Json.parseObject(data);
                if (event.has("error")) {
                    output.errors().println(event);
                    return ExitCode.FAILED;
                }
                output.results().print(event.at("/choices/0/delta/content").asText());
                output.results().flush();
            }
        }
        output.errors().println("the response ended before the answer was complete");
        return ExitCode.FAILED;
    }
}
