package org.rattanport.decisions.placement;

import org.rattanport.kernel.model.Target;

/**
 * Where an attempt goes.
 *
 * @param target the engine
 * @param enginePriority priority inside the engine; higher goes first
 * @param isBorrowed whether the engine is first there for another length class
 * @param predictedFirstTokenSeconds prediction that the cost model learns from
 */
public record Placement(
        Target target, int enginePriority, boolean isBorrowed, double predictedFirstTokenSeconds) {}
