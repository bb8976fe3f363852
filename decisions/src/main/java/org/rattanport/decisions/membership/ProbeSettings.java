package org.rattanport.decisions.membership;

import java.time.Duration;

/**
 * How members are probed.
 *
 * @param timeout time that a probed member has to answer
 * @param indirectProbes members asked to probe one that did not answer
 * @param suspicionRounds own rounds that a suspected member has to refute
 * @param rejoinRounds own rounds between attempts to reach a listed but dead member
 */
public record ProbeSettings(
        Duration timeout, int indirectProbes, int suspicionRounds, int rejoinRounds) {}
