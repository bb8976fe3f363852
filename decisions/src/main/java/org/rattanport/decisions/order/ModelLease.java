package org.rattanport.decisions.order;

/**
 * The row by which one instance at a time controls the engines of a model.
 *
 * @param holder name of the instance
 * @param incarnation its incarnation
 * @param fencingNumber rises with each change of holder
 * @param renewals rises with each renewal, so that others can tell a live lease from a stale one
 */
public record ModelLease(String holder, long incarnation, long fencingNumber, long renewals) {}
