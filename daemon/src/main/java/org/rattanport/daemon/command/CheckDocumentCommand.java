package org.rattanport.daemon.command;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;
import org.rattanport.connectors.json.JsonDocumentCodec;
import org.rattanport.kernel.error.ErrorCode;

/** Checks an environment document. */
public final class CheckDocumentCommand implements Command {
    private static final class Options {
        @Parameter(description = "FILE", required = true)
        private String mFile = "";
    }

    private final Options mOptions = new Options();

    @Override
    public String name() {
        return "check-document";
    }

    @Override
    public String summary() {
        return "check an environment document and report all its faults";
    }

    @Override
    public Object options() {
        return mOptions;
    }

    @Override
    public int run(CommandOutput output) {
        var document =
                Files.parse(
                        Path.of(mOptions.mFile),
                        ErrorCode.INVALID_DOCUMENT,
                        new JsonDocumentCodec()::parse);
        output.results().println(mOptions.mFile + ": valid, environment " + document.name());
        return ExitCode.SUCCESS;
    }
}
