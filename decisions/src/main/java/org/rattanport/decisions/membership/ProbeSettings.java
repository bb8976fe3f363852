package org.rattanport.decisions.membership;

import java.time.Duration;

/**
 * Settings of the failure detector.
 *
 * @param timeout time limit for the ack of a ping
 * @param indirectProbes number of members that ping an unresponsive member on request
 * @param suspicionRounds local rounds after which a suspected member is declared dead
 * @param rejoinRounds local rounds between two pings to dead members
 */
public record ProbeSettings(
        Duration timeout, int indirectProbes, int suspicionRounds, int rejoinRounds) {}
