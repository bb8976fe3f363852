package org.rattanport.daemon.command;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Path;
import okhttp3.Call;
import okhttp3.Request;
import okhttp3.Response;
import okio.BufferedSource;
import org.rattanport.connectors.http.HttpCaller;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.error.ErrorCode;

/** Sends a prompt and prints its answer as it comes. */
public final class PromptCommand implements Command {
    private static final String DATA = "data: ";

    private static final class Options extends ClientOptions {
        @Parameter(names = "--file", required = true, description = "text of the prompt")
        private String mFile = "";

        @Parameter(names = "--model", required = true, description = "model name")
        private String mModel = "";

        @Parameter(names = "--max-tokens", description = "longest answer")
        private int mMaximumTokens = 128;
    }

    private final Options mOptions = new Options();

    @Override
    public String name() {
        return "prompt";
    }

    @Override
    public String summary() {
        return "send a prompt and print its answer as it comes";
    }

    @Override
    public Object options() {
        return mOptions;
    }

    @Override
    public int run(CommandOutput output) {
        String text = Files.read(Path.of(mOptions.mFile), ErrorCode.INVALID_REQUEST);
        var body = Json.object();
        body.put("model", mOptions.mModel).put("stream", true);
        body.put("max_tokens", mOptions.mMaximumTokens);
        body.putArray("messages").addObject().put("role", "user").put("content", text);
        Request.Builder request =
                mOptions.request(mOptions.url("/v1/chat/completions"))
                        .header(
                                "Rattanport-Timeout-Seconds",
                                Integer.toString(mOptions.timeoutSeconds()))
                        .post(HttpCaller.json(body));
        Call call = mOptions.http().prepare(request, mOptions.deadline());
        try (Response response = mOptions.http().execute(call)) {
            if (!response.isSuccessful()) {
                output.errors().println(response.body().string());
                return ExitCode.FAILED;
            }
            return printEvents(response.body().source(), output);
        } catch (IOException e) {
            throw mOptions.http().failure(call, e);
        }
    }

    private static int printEvents(BufferedSource source, CommandOutput output) throws IOException {
        for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
            if (line.equals(DATA + "[DONE]")) {
                output.results().println();
                return ExitCode.SUCCESS;
            }
            if (line.startsWith(DATA)) {
                var event = Json.MAPPER.readTree(line.substring(DATA.length()));
                if (event.has("error")) {
                    output.errors().println(event);
                    return ExitCode.FAILED;
                }
                output.results().print(event.at("/choices/0/delta/content").asText());
                output.results().flush();
            }
        }
        output.errors().println("the answer broke off before its end");
        return ExitCode.FAILED;
    }
}
