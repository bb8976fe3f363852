package org.rattanport.benchmark;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Generates prompt texts from the documentation of this repository, repeated to a length. */
public final class PromptTextGenerator {
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int MIN_BASE_CHARACTERS = 2_000;

    private final String mBaseText;

    private PromptTextGenerator(String baseText) {
        mBaseText = baseText;
    }

    /** Reads the Markdown files below the folder that RATTANPORT_HOME names. */
    public static PromptTextGenerator load() {
        Path home = Path.of(System.getenv().getOrDefault("RATTANPORT_HOME", "."));
        try (Stream<Path> files = Files.walk(home, 3)) {
            String text =
                    files.filter(each -> each.toString().endsWith(".md"))
                            .filter(each -> !each.toString().contains("/target/"))
                            .sorted()
                            .map(PromptTextGenerator::read)
                            .collect(Collectors.joining("\n"));
            return new PromptTextGenerator(
                    text.length() >= MIN_BASE_CHARACTERS
                            ? text
                            : "rattanport serves prompts of different lengths. ".repeat(100));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Generates a prompt of about the given number of tokens. It begins with the name, so that
     * prompts with different names share no cached prefix.
     */
    public String generate(String name, int tokens) {
        int length = Math.max(name.length() + 2, tokens * CHARACTERS_PER_TOKEN);
        StringBuilder text = new StringBuilder(length + mBaseText.length());
        text.append(name).append(": ");
        while (text.length() < length) {
            text.append(mBaseText);
        }
        text.setLength(length);
        // The answers of the stand-ins depend on the end of the prompt.
        text.replace(length - name.length(), length, name);
        return text.toString();
    }
}
