package org.rattanport.decisions.order;

/**
 * The lease row whose holder is the only controller of the engines of all models.
 *
 * @param holder name of the instance that holds the lease
 * @param incarnation incarnation of that instance
 * @param fencingNumber increases with each change of holder
 * @param renewals increases with each renewal, so that other instances can detect a stale lease
 */
public record ModelLease(String holder, long incarnation, long fencingNumber, long renewals) {}
