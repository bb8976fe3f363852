package org.rattanport.kernel.target;

/**
 * The desired state of an engine. Sending it again has no further effect.
 *
 * @param model model to serve
 * @param version version of the weights
 * @param fencingNumber fencing number of the controller's lease; engines that check fencing numbers
 *     refuse a lower one than the last
 */
public record ModelAssignment(String model, String version, long fencingNumber) {}
