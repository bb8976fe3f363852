package org.rattanport.benchmark;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Real text for prompts: the pages of this repository, repeated to length. */
public final class PromptTextGenerator {
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int MIN_BASE_CHARACTERS = 2_000;

    private final String mBaseText;

    private PromptTextGenerator(String base) {
        mBaseText = base;
    }

    /** Reads the pages below the folder that the launcher names. */
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
                            : "rattanport serves prompts of unlike lengths. ".repeat(100));
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

    /** A prompt of about the given number of tokens; prompts of unlike names share no prefix. */
    public String generate(String name, int tokens) {
        int length = Math.max(name.length() + 2, tokens * CHARACTERS_PER_TOKEN);
        StringBuilder text = new StringBuilder(length + mBaseText.length());
        text.append(name).append(": ");
        while (text.length() < length) {
            text.append(mBaseText);
        }
        text.setLength(length);
        // The stand-ins' answers depend on the end of a prompt.
        text.replace(length - name.length(), length, name);
        return text.toString();
    }
}
