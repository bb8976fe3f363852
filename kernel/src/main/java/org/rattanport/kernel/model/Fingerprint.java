package org.rattanport.kernel.model;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** A hash that identifies the content of a request without revealing it. */
public record Fingerprint(String value) {
    private static final int LENGTH_BYTES = 16;

    /**
     * Hashes the parts, each prefixed with its length, so that different lists of parts never hash
     * the same input.
     */
    public static Fingerprint of(String... parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (String part : parts) {
                byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
                digest.update((bytes.length + ":").getBytes(StandardCharsets.US_ASCII));
                digest.update(bytes);
            }
            return new Fingerprint(HexFormat.of().formatHex(digest.digest(), 0, LENGTH_BYTES));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is missing, although every Java platform must support it", e);
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
