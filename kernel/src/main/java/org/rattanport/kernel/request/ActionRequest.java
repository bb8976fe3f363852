package org.rattanport.kernel.request;

import java.util.Optional;
import org.rattanport.kernel.model.AccountId;
import org.rattanport.kernel.model.Fingerprint;
import org.rattanport.kernel.model.RequestId;
import org.rattanport.kernel.time.Deadline;

/**
 * A call of an operation of a plain service.
 *
 * @param id id that is the same in all attempts
 * @param account client account
 * @param service name of the service in the environment document
 * @param operation name of the operation
 * @param body JSON body that is forwarded to the service
 * @param idempotencyKey idempotency key of the caller; required when the operation is not
 *     idempotent
 * @param deadline time by which the caller expects the result
 */
public record ActionRequest(
        RequestId id,
        AccountId account,
        String service,
        String operation,
        String body,
        Optional<String> idempotencyKey,
        Deadline deadline) {
    /**
     * Returns a fingerprint of the content; it shows that an idempotency key was reused for another
     * request.
     */
    public Fingerprint fingerprint() {
        return Fingerprint.of(account.value(), service, operation, body);
    }
}
