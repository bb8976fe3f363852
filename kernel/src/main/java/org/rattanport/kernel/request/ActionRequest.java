package org.rattanport.kernel.request;

import java.util.Optional;
import org.rattanport.kernel.model.AccountId;
import org.rattanport.kernel.model.Fingerprint;
import org.rattanport.kernel.model.RequestId;
import org.rattanport.kernel.time.Deadline;

/**
 * A call of an operation of a plain service.
 *
 * @param id identity over all attempts
 * @param account client account
 * @param service service of the environment document
 * @param operation operation of the service
 * @param body JSON text passed through to the service
 * @param idempotencyKey the caller's key; required when the operation is not idempotent
 * @param deadline end of the caller's time
 */
public record ActionRequest(
        RequestId id,
        AccountId account,
        String service,
        String operation,
        String body,
        Optional<String> idempotencyKey,
        Deadline deadline) {
    /** Stands for the content, so that a key used again with another body is noticed. */
    public Fingerprint fingerprint() {
        return Fingerprint.of(account.value(), service, operation, body);
    }
}
