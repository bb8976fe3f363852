package org.rattanport.benchmark;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Real text for prompts: the pages of this repository, repeated to length. */
public final class BenchmarkText {
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int SHORTEST_BASE = 2_000;

    private final String mBase;

    private BenchmarkText(String base) {
        mBase = base;
    }

    /** Reads the pages below the folder that the launcher names. */
    public static BenchmarkText load() {
        Path home = Path.of(System.getenv().getOrDefault("RATTANPORT_HOME", "."));
        try (Stream<Path> files = Files.walk(home, 3)) {
            String text =
                    files.filter(each -> each.toString().endsWith(".md"))
                            .filter(each -> !each.toString().contains("/target/"))
                            .sorted()
                            .map(BenchmarkText::read)
                            .collect(Collectors.joining("\n"));
            return new BenchmarkText(
                    text.length() >= SHORTEST_BASE
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
    public String prompt(String name, int tokens) {
        int length = Math.max(name.length() + 2, tokens * CHARACTERS_PER_TOKEN);
        StringBuilder text = new StringBuilder(length + mBase.length());
        text.append(name).append(": ");
        while (text.length() < length) {
            text.append(mBase);
        }
        text.setLength(length);
        // The stand-ins' answers depend on the end of a prompt.
        text.replace(length - name.length(), length, name);
        return text.toString();
    }
}
