package org.rattanport.daemon.command;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class CommandLineTest {
    @TempDir private Path mTempDirectory = Path.of(".");
    private final ByteArrayOutputStream mResults = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErrors = new ByteArrayOutputStream();

    @Nested
    final class CommandSelection {
        @Test
        void shouldListTheCommandsForHelp() {
            assertThat(run("--help")).isEqualTo(ExitCode.SUCCESS);
            assertThat(results()).contains("environment promote");
            assertThat(results()).contains("check-document");
        }

        @Test
        void shouldRejectAnUnknownCommand() {
            assertThat(run("fly")).isEqualTo(ExitCode.USAGE);
            assertThat(errors()).contains("\"fly\" is not a command");
        }

        @Test
        void shouldRejectAMissingRequiredOption() {
            assertThat(run("serve")).isEqualTo(ExitCode.USAGE);
            assertThat(errors()).contains("--settings");
        }

        @Test
        void shouldDescribeTheOptionsOfACommandOfTwoWords() {
            assertThat(run("environment", "put", "--help")).isEqualTo(ExitCode.SUCCESS);
            assertThat(results()).contains("--expected-version");
        }
    }

    @Nested
    final class FileValidation {
        @Test
        void shouldReportFileLineAndFieldOfEachError() throws IOException {
            Path file = mTempDirectory.resolve("settings.json");
            Files.writeString(file, "{\n  \"instance_name\": 5,\n  \"colour\": \"red\"\n}");
            assertThat(run("check-settings", file.toString())).isEqualTo(ExitCode.INVALID_INPUT);
            assertThat(errors())
                    .contains(file + ": line 2: /instance_name must be a non-blank string");
            assertThat(errors()).contains(file + ": line 3: /colour is not a known field");
        }

        @Test
        void shouldReportAMissingFile() {
            String missing = mTempDirectory.resolve("none.json").toString();
            assertThat(run("check-document", missing)).isEqualTo(ExitCode.INVALID_INPUT);
            assertThat(errors()).contains(missing + ": cannot be read");
        }
    }

    @Nested
    final class InstanceRequests {
        @Test
        void shouldReportAnUnreachableInstanceAsNotRun() {
            assertThat(run("members", "--at", "127.0.0.1:1")).isEqualTo(ExitCode.UNREACHABLE);
            assertThat(errors()).contains("not_run");
        }
    }

    private int run(String... arguments) {
        return CommandLine.registered()
                .run(
                        List.of(arguments),
                        new CommandOutput(
                                new PrintStream(mResults, true, StandardCharsets.UTF_8),
                                new PrintStream(mErrors, true, StandardCharsets.UTF_8)));
    }

    private String results() {
        return mResults.toString(StandardCharsets.UTF_8);
    }

    private String errors() {
        return mErrors.toString(StandardCharsets.UTF_8);
    }
}
