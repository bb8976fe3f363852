package org.rattanport.connectors.caller;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.Base64;
import javax.crypto.Cipher;
import javax.crypto.spec.GCMParameterSpec;
import javax.crypto.spec.SecretKeySpec;
import org.rattanport.connectors.json.JsonRowCodec;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/**
 * Sealed tickets with which a caller goes on with an answer at any instance. A ticket holds all
 * that the other instance needs, so nothing is written to the store for it.
 */
final class ResumeTickets {
    /** Content of a ticket. */
    record Ticket(
            String requestId,
            String fingerprint,
            String targetName,
            long targetIncarnation,
            int attempt) {}

    private static final String CIPHER = "AES/GCM/NoPadding";
    private static final int NONCE_BYTES = 12;
    private static final int TAG_BITS = 128;

    private final SecretKeySpec mKey;
    private final SecureRandom mRandom = new SecureRandom();
    private final JsonRowCodec mCodec = new JsonRowCodec();

    ResumeTickets(String secret) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update("resume-ticket:".getBytes(StandardCharsets.UTF_8));
            mKey = new SecretKeySpec(digest.digest(secret.getBytes(StandardCharsets.UTF_8)), "AES");
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    String seal(Ticket ticket) {
        byte[] nonce = new byte[NONCE_BYTES];
        mRandom.nextBytes(nonce);
        byte[] plain = mCodec.encode(ticket).getBytes(StandardCharsets.UTF_8);
        byte[] sealed = apply(Cipher.ENCRYPT_MODE, nonce, plain);
        byte[] all = Arrays.copyOf(nonce, NONCE_BYTES + sealed.length);
        System.arraycopy(sealed, 0, all, NONCE_BYTES, sealed.length);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(all);
    }

    /** Opens a ticket; {@code INVALID_REQUEST} when no instance of this fleet has sealed it. */
    Ticket open(String text) {
        try {
            byte[] all = Base64.getUrlDecoder().decode(text);
            byte[] nonce = Arrays.copyOf(all, NONCE_BYTES);
            byte[] sealed = Arrays.copyOfRange(all, NONCE_BYTES, all.length);
            String plain =
                    new String(apply(Cipher.DECRYPT_MODE, nonce, sealed), StandardCharsets.UTF_8);
            return mCodec.decode(plain, Ticket.class);
        } catch (IllegalArgumentException | IllegalStateException e) {
            throw RattanportException.builder(
                            ErrorCode.INVALID_REQUEST, "the resume ticket is not valid")
                    .field("Rattanport-Resume")
                    .build();
        }
    }

    private byte[] apply(int mode, byte[] nonce, byte[] input) {
        try {
            Cipher cipher = Cipher.getInstance(CIPHER);
            cipher.init(mode, mKey, new GCMParameterSpec(TAG_BITS, nonce));
            return cipher.doFinal(input);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("cannot apply " + CIPHER, e);
        }
    }
}
