package org.rattanport.connectors.peer;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/** Text compressed with gzip: documents consist of much that repeats. */
final class GzipCodec {
    private static final int MAX_UNCOMPRESSED_BYTES = 16 * 1024 * 1024;

    private GzipCodec() {}

    static ByteString compress(String text) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try (GZIPOutputStream compressing = new GZIPOutputStream(output)) {
            compressing.write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw corruptDocument(e);
        }
        return ByteString.copyFrom(output.toByteArray());
    }

    /** Expands a text; one that is larger than any document may be is refused. */
    static String decompress(ByteString bytes) {
        try (GZIPInputStream expanding = new GZIPInputStream(bytes.newInput())) {
            byte[] text = expanding.readNBytes(MAX_UNCOMPRESSED_BYTES + 1);
            if (text.length > MAX_UNCOMPRESSED_BYTES) {
                throw corruptDocument(new IOException("too large"));
            }
            return new String(text, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw corruptDocument(e);
        }
    }

    private static RattanportException corruptDocument(IOException cause) {
        return RattanportException.builder(
                        ErrorCode.PEER_UNREACHABLE, "a document of a peer cannot be read")
                .cause(cause)
                .build();
    }
}
