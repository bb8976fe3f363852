package org.rattanport.kernel.target;

/**
 * The desired state of an engine; safe to repeat.
 *
 * @param model model to serve
 * @param version version of the weights
 * @param fencingNumber number of the controller's lease; engines that check it refuse lower ones
 */
public record ModelOrder(String model, String version, long fencingNumber) {}
