package org.rattanport.decisions.action;

import org.rattanport.kernel.model.InstanceId;

/**
 * The row that stores the claim on an idempotency key.
 *
 * @param state state of the call
 * @param attemptId identifies the one attempt that may send while the state is {@code SENDING}
 * @param ownerName instance that runs the attempt
 * @param ownerIncarnation incarnation of that instance
 * @param fencingNumber increases with each attempt that claims the key
 * @param fingerprint hash of account, operation and body
 * @param changedWallMillis time of the last change, by the clock of the writer
 * @param status status of the response in state {@code DONE}, otherwise 0
 * @param body body of the response in state {@code DONE}, otherwise empty
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

    /** Returns the claim of the same attempt in another state. */
    public Claim withState(ClaimState state, long wallMillis) {
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

    /** Returns the claim of the same attempt in state {@code DONE} with the response. */
    public Claim withResponse(int status, String body, long wallMillis) {
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
