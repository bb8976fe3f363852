package org.rattanport.decisions.action;

import org.rattanport.kernel.model.InstanceId;

/**
 * The row that keeps the claim on an idempotency key.
 *
 * @param state what is known of the call
 * @param attemptId identifies the one attempt that may send while the state is {@code SENDING}
 * @param ownerName instance that runs the attempt
 * @param ownerIncarnation its incarnation
 * @param fencingNumber rises with each attempt on the key
 * @param fingerprint stands for account, operation and body
 * @param changedWallMillis time of the last change, by the clock of the writer
 * @param status status of the answer, when done
 * @param body body of the answer, when done
 */
public record Claim(
        ClaimState state,
        String attemptId,
        String ownerName,
        long ownerIncarnation,
        long fencingNumber,
        String fingerprint,
        long changedWallMillis,
        int status,
        String body) {
    public InstanceId owner() {
        return new InstanceId(ownerName, ownerIncarnation);
    }

    /** The same attempt in another state. */
    public Claim with(ClaimState state, long wallMillis) {
        return new Claim(
                state,
                attemptId,
                ownerName,
                ownerIncarnation,
                fencingNumber,
                fingerprint,
                wallMillis,
                status,
                body);
    }

    /** The same attempt with the answer of its call. */
    public Claim done(int status, String body, long wallMillis) {
        return new Claim(
                ClaimState.DONE,
                attemptId,
                ownerName,
                ownerIncarnation,
                fencingNumber,
                fingerprint,
                wallMillis,
                status,
                body);
    }
}
