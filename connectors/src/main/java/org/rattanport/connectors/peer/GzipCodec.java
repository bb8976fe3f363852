package org.rattanport.connectors.peer;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/** Compresses documents with gzip, which makes repetitive documents much smaller. */
final class GzipCodec {
    private static final int MAX_UNCOMPRESSED_BYTES = 16 * 1024 * 1024;

    private GzipCodec() {}

    static ByteString compress(String text) {
        return compress(text.getBytes(StandardCharsets.UTF_8));
    }

    static ByteString compress(byte[] content) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(output)) {
            gzip.write(content);
        } catch (IOException e) {
            throw corruptDocument(e);
        }
        return ByteString.copyFrom(output.toByteArray());
    }

    static String decompress(ByteString compressed) {
        return new String(decompressBytes(compressed), StandardCharsets.UTF_8);
    }

    /** Decompresses a document; rejects one that is larger than any valid document. */
    static byte[] decompressBytes(ByteString compressed) {
        try (GZIPInputStream gzip = new GZIPInputStream(compressed.newInput())) {
            byte[] bytes = gzip.readNBytes(MAX_UNCOMPRESSED_BYTES + 1);
            if (bytes.length > MAX_UNCOMPRESSED_BYTES) {
                throw corruptDocument(new IOException("too large"));
            }
            return bytes;
        } catch (IOException e) {
            throw corruptDocument(e);
        }
    }

    private static RattanportException corruptDocument(IOException cause) {
        return RattanportException.builder(
                        ErrorCode.PEER_UNREACHABLE, "a peer's document cannot be decompressed")
                .cause(cause)
                .build();
    }
}
