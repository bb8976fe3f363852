package org.rattanport.daemon.command;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;
import org.rattanport.connectors.json.JsonDocumentParser;
import org.rattanport.kernel.error.ErrorCode;

/** Validates an environment document. */
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
        return "validate an environment document and report all errors";
    }

    @Override
    public Object options() {
        return mOptions;
    }

    @Override
    public int run(CommandOutput output) {
        var document =
                InputFiles.parse(
                        Path.of(mOptions.mFile),
                        ErrorCode.INVALID_DOCUMENT,
                        new JsonDocumentParser()::parse);
        output.results().println(mOptions.mFile + ": valid, environment " + document.name());
        return ExitCode.SUCCESS;
    }
}
