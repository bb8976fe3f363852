package org.rattanport.kernel.request;

/**
 * A service's answer.
 *
 * @param status HTTP status of the answer
 * @param body its body
 * @param isReplay whether an earlier run of the same key gave it
 */
public record ActionResult(int status, String body, boolean isReplay) {}
