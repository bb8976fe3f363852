package org.rattanport.connectors.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hashes keys; environment documents and settings hold the hashes, not the keys. */
public final class KeyHash {
    private KeyHash() {}

    /** Returns the SHA-256 hash of the key in lower-case hexadecimal. */
    public static String of(String key) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is missing, although every Java platform must support it", e);
        }
    }

    /** Compares in constant time, so that the duration reveals nothing about a hash. */
    static boolean equalsInConstantTime(String left, String right) {
        return MessageDigest.isEqual(
                left.getBytes(StandardCharsets.UTF_8), right.getBytes(StandardCharsets.UTF_8));
    }
}
