package org.rattanport.kernel.request;

import org.rattanport.kernel.model.TargetId;

/**
 * Where an answer that broke off goes on.
 *
 * @param target engine incarnation that generated it
 * @param attempt attempt that ran there
 * @param receivedTokens output tokens that the caller already has
 */
public record ResumePoint(TargetId target, int attempt, int receivedTokens) {}
