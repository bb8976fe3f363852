package org.rattanport.connectors.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** The shared secret with which two instances authenticate each other. */
final class PeerSecret {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 16;

    private final SecretKeySpec mKey;
    private final SecureRandom mRandom = new SecureRandom();

    PeerSecret(String secret) {
        mKey = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    byte[] nonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        mRandom.nextBytes(nonce);
        return nonce;
    }

    /**
     * Returns a side's proof over both nonces; the side's name in it prevents reflection attacks.
     */
    byte[] proof(String side, byte[] serverNonce, byte[] clientNonce) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(mKey);
            mac.update(side.getBytes(StandardCharsets.UTF_8));
            mac.update(serverNonce);
            mac.update(clientNonce);
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("cannot compute " + ALGORITHM, e);
        }
    }

    static boolean matches(byte[] expected, byte[] received) {
        return MessageDigest.isEqual(expected, received);
    }
}
