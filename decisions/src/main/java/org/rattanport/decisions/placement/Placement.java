package org.rattanport.decisions.placement;

import org.rattanport.kernel.model.Target;

/**
 * The engine chosen for an attempt.
 *
 * @param target the engine
 * @param enginePriority priority inside the engine; higher goes first
 * @param isBorrowed whether the engine is assigned to another length class
 * @param predictedFirstTokenSeconds predicted time to the first token, which the cost model later
 *     compares with the observed time
 */
public record Placement(
        Target target, int enginePriority, boolean isBorrowed, double predictedFirstTokenSeconds) {}
