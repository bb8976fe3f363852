package org.rattanport.kernel.request;

/**
 * Response of a plain service to a call.
 *
 * @param status HTTP status
 * @param body response body
 * @param isReplayed whether the response is that of an earlier call with the same idempotency key
 */
public record ActionResult(int status, String body, boolean isReplayed) {}
