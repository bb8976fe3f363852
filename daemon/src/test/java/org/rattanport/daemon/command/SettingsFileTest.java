package org.rattanport.daemon.command;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.time.Instant;
import java.util.function.Function;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.rattanport.kernel.error.RattanportException;

/** Changes of a settings file that no signal reports. */
final class SettingsFileTest {
    private static final FileTime FIRST_WRITE =
            FileTime.from(Instant.parse("2026-12-06T08:00:00Z"));

    @TempDir private Path mFolder;

    private Path mPath = Path.of("");
    private SettingsFile mFile = new SettingsFile(mPath);

    @BeforeEach
    void writeAndRead() throws IOException {
        mPath = mFolder.resolve("settings.conf");
        mFile = new SettingsFile(mPath);
        write("seeds=one", FIRST_WRITE);
        assertThat(read()).isEqualTo("seeds=one");
    }

    private void write(String content, FileTime time) throws IOException {
        Files.writeString(mPath, content);
        Files.setLastModifiedTime(mPath, time);
    }

    private String read() {
        return mFile.parse(Function.identity());
    }

    @Nested
    final class Unchanged {
        @Test
        void shouldNotBeReadAgain() {
            assertThat(mFile.hasChanged()).isFalse();
        }
    }

    @Nested
    final class Changed {
        private void shouldBeReadOnce(String content) {
            assertThat(mFile.hasChanged()).isTrue();
            assertThat(read()).isEqualTo(content);
            assertThat(mFile.hasChanged()).isFalse();
        }

        @Test
        void shouldBeReadAfterALaterWrite() throws Exception {
            write("seeds=two", FileTime.from(FIRST_WRITE.toInstant().plusMillis(10)));
            shouldBeReadOnce("seeds=two");
        }

        /** Copies may keep the time of an original that is older than the file they replace. */
        @Test
        void shouldBeReadAfterAReplacementWithAnOlderTime() throws Exception {
            write("seeds=two", FileTime.from(FIRST_WRITE.toInstant().minus(Duration.ofDays(1))));
            shouldBeReadOnce("seeds=two");
        }

        @Test
        void shouldBeReadAfterALongerWriteWithinTheSameTick() throws Exception {
            write("seeds=three", FIRST_WRITE);
            shouldBeReadOnce("seeds=three");
        }

        @Test
        void shouldBeReadAfterARenameWithTheSameTimeAndLength() throws Exception {
            Path other = mFolder.resolve("other.conf");
            Files.writeString(other, "seeds=two");
            Files.setLastModifiedTime(other, FIRST_WRITE);
            Files.move(other, mPath, StandardCopyOption.REPLACE_EXISTING);
            shouldBeReadOnce("seeds=two");
        }
    }

    @Nested
    final class Removed {
        @Test
        void shouldBeReportedOnceAndReadAgainWhenItIsBack() throws Exception {
            Files.delete(mPath);
            assertThat(mFile.hasChanged()).isTrue();
            assertThrows(RattanportException.class, SettingsFileTest.this::read);
            assertThat(mFile.hasChanged()).isFalse();
            write("seeds=two", FIRST_WRITE);
            assertThat(mFile.hasChanged()).isTrue();
            assertThat(read()).isEqualTo("seeds=two");
        }
    }
}
