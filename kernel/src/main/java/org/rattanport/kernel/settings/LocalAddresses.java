package org.rattanport.kernel.settings;

/**
 * Addresses that this instance listens on.
 *
 * @param callerAddress IP and port for callers and operators
 * @param peerAddress IP and port for other instances
 */
public record LocalAddresses(String callerAddress, String peerAddress) {}
