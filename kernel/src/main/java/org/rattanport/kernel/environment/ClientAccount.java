package org.rattanport.kernel.environment;

import java.util.List;
import org.rattanport.kernel.model.AccountId;

/**
 * A client account.
 *
 * @param id its name
 * @param keyHashes SHA-256 hashes of its keys, in hexadecimal
 * @param priority higher goes first
 * @param weight share of a contended fleet, relative to other accounts of the same priority
 * @param tokensPerSecond limit over all instances
 * @param burstTokens tokens that may be used at once above the rate
 */
public record ClientAccount(
        AccountId id,
        List<String> keyHashes,
        int priority,
        int weight,
        long tokensPerSecond,
        long burstTokens) {}
