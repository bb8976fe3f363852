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
 * Encrypts and decrypts the tickets with which a caller resumes an answer at any instance. A ticket
 * holds everything that the other instance needs, so the store holds nothing for it.
 */
final class ResumeTickets {
    /** Content of a ticket; the names of the components are the names of its JSON fields. */
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
    private final JsonRowCodec mTicketCodec = new JsonRowCodec();

    ResumeTickets(String secret) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update("resume-ticket:".getBytes(StandardCharsets.UTF_8));
            mKey = new SecretKeySpec(digest.digest(secret.getBytes(StandardCharsets.UTF_8)), "AES");
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(
                    "SHA-256 is missing, although every Java platform must support it", e);
        }
    }

    String encrypt(Ticket ticket) {
        byte[] nonce = new byte[NONCE_BYTES];
        mRandom.nextBytes(nonce);
        byte[] plaintext = mTicketCodec.encode(ticket).getBytes(StandardCharsets.UTF_8);
        byte[] ciphertext = runCipher(Cipher.ENCRYPT_MODE, nonce, plaintext);
        byte[] nonceAndCiphertext = Arrays.copyOf(nonce, NONCE_BYTES + ciphertext.length);
        System.arraycopy(ciphertext, 0, nonceAndCiphertext, NONCE_BYTES, ciphertext.length);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(nonceAndCiphertext);
    }

    /**
     * Decrypts a ticket.
     *
     * @throws RattanportException {@code INVALID_REQUEST} when no instance of this fleet has issued
     *     the ticket
     */
    Ticket decrypt(String encoded) {
        try {
            byte[] nonceAndCiphertext = Base64.getUrlDecoder().decode(encoded);
            byte[] nonce = Arrays.copyOf(nonceAndCiphertext, NONCE_BYTES);
            byte[] ciphertext =
                    Arrays.copyOfRange(nonceAndCiphertext, NONCE_BYTES, nonceAndCiphertext.length);
            String json =
                    new String(
                            runCipher(Cipher.DECRYPT_MODE, nonce, ciphertext),
                            StandardCharsets.UTF_8);
            return mTicketCodec.decode(json, Ticket.class);
        } catch (IllegalArgumentException | IllegalStateException e) {
            // runCipher throws IllegalStateException for a ticket that fails authentication.
            throw RattanportException.builder(
                            ErrorCode.INVALID_REQUEST, "the resume ticket is not valid")
                    .field("Rattanport-Resume")
                    .build();
        }
    }

    private byte[] runCipher(int mode, byte[] nonce, byte[] input) {
        try {
            Cipher cipher = Cipher.getInstance(CIPHER);
            cipher.init(mode, mKey, new GCMParameterSpec(TAG_BITS, nonce));
            return cipher.doFinal(input);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("cannot apply " + CIPHER, e);
        }
    }
}
