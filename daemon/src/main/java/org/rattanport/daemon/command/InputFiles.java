package org.rattanport.daemon.command;

import java.io.IOException;
import java.nio.file.Path;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/** Reads the files that are arguments of commands. */
public final class InputFiles {
    private InputFiles() {}

    public static String read(Path file, ErrorCode code) {
        try {
            return java.nio.file.Files.readString(file);
        } catch (IOException e) {
            throw RattanportException.builder(code, file + ": cannot be read").cause(e).build();
        }
    }

    /**
     * Parses a file; if parsing fails, each line of the error message starts with the file name.
     */
    public static <T> T parse(
            Path file, ErrorCode code, java.util.function.Function<String, T> parser) {
        String content = read(file, code);
        try {
            return parser.apply(content);
        } catch (RattanportException e) {
            String lines = String.valueOf(e.getMessage()).replace("\n", "\n" + file + ": ");
            throw RattanportException.builder(code, file + ": " + lines).cause(e).build();
        }
    }
}
