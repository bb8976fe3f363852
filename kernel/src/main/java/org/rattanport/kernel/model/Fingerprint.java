package org.rattanport.kernel.model;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** A hash that stands for the content of a request without showing it. */
public record Fingerprint(String value) {
    private static final int KEPT_BYTES = 16;

    /** Hashes the parts, each with its length, so that no two lists of parts collide by joining. */
    public static Fingerprint of(String... parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (String part : parts) {
                byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
                digest.update((bytes.length + ":").getBytes(StandardCharsets.US_ASCII));
                digest.update(bytes);
            }
            return new Fingerprint(HexFormat.of().formatHex(digest.digest(), 0, KEPT_BYTES));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
