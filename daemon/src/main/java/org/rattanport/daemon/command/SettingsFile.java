package org.rattanport.daemon.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Optional;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.rattanport.kernel.error.ErrorCode;

/** A settings file that may change while the process runs. Its methods are not thread-safe. */
public final class SettingsFile {
    /**
     * Attributes that change with the content.
     *
     * @param fileKey identifies the file on its file system; null on platforms without one
     */
    private record Stamp(FileTime modificationTime, long size, @Nullable Object fileKey) {
        /** Returns the stamp of the file, or nothing if there is no readable file. */
        static Optional<Stamp> of(Path file) {
            try {
                BasicFileAttributes attributes =
                        Files.readAttributes(file, BasicFileAttributes.class);
                return Optional.of(
                        new Stamp(
                                attributes.lastModifiedTime(),
                                attributes.size(),
                                attributes.fileKey()));
            } catch (IOException e) {
                // The next reading of the content reports the reason.
                return Optional.empty();
            }
        }
    }

    private final Path mPath;
    private Optional<Stamp> mLastRead = Optional.empty();

    public SettingsFile(Path path) {
        mPath = path;
    }

    /** Reads and parses the content; see {@link InputFiles#parse}. */
    public <T> T parse(Function<String, T> parser) {
        // A change during the reading leaves the older stamp, and leads to another reading.
        mLastRead = Stamp.of(mPath);
        return InputFiles.parse(mPath, ErrorCode.INVALID_SETTINGS, parser);
    }

    /** Whether the file was written, replaced or removed since it was last read. */
    public boolean hasChanged() {
        return !Stamp.of(mPath).equals(mLastRead);
    }
}
