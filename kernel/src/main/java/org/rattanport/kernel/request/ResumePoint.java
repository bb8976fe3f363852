package org.rattanport.kernel.request;

import org.rattanport.kernel.model.TargetId;

/**
 * The point from which an interrupted answer resumes.
 *
 * @param target incarnation of the engine that generated the answer
 * @param attempt number of the attempt at that engine
 * @param receivedTokens number of output tokens that the caller received
 */
public record ResumePoint(TargetId target, int attempt, int receivedTokens) {}
