package org.rattanport.kernel.error;

/** Error codes. The codes are stable; callers and operators may rely on them. */
public enum ErrorCode {
    INVALID_REQUEST(400),
    INVALID_SETTINGS(400),
    INVALID_DOCUMENT(400),
    BODY_TOO_LARGE(413),
    UNAUTHENTICATED(401),
    FORBIDDEN(403),
    UNKNOWN_MODEL(404),
    UNKNOWN_SERVICE(404),
    UNKNOWN_OPERATION(404),
    NOT_FOUND(404),
    PROMPT_TOO_LONG(400),
    IDEMPOTENCY_KEY_REQUIRED(400),
    IDEMPOTENCY_KEY_REUSED(422),
    IDEMPOTENT_CALL_IN_PROGRESS(409),
    IDEMPOTENT_CALL_UNSETTLED(409),
    ACCOUNT_LIMIT(429),
    QUEUE_FULL(429),
    DEADLINE_NOT_FEASIBLE(429),
    DEADLINE_EXCEEDED(504),
    NO_TARGET(503),
    TARGET_FAILED(502),
    TARGET_REFUSED(503),
    TARGET_LEAVING(503),
    ANSWER_CUT(502),
    POISON_REQUEST(422),
    RETRY_BUDGET_EXHAUSTED(503),
    STORE_UNAVAILABLE(503),
    ENVIRONMENT_UNAVAILABLE(503),
    VERSION_CONFLICT(409),
    STOPPING(503),
    CANCELLED(499),
    PEER_UNREACHABLE(503),
    PLUGIN_MISSING(500),
    PLUGIN_CONFLICT(500),
    INTERNAL(500);

    private final int mHttpStatus;

    ErrorCode(int httpStatus) {
        mHttpStatus = httpStatus;
    }

    /** Returns the status of the HTTP response for this error. */
    public int httpStatus() {
        return mHttpStatus;
    }

    /** Returns the form of the code in messages to callers. */
    public String wireName() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
