package org.rattanport.kernel.environment;

import java.util.List;
import org.rattanport.kernel.model.AccountId;

/**
 * A client account.
 *
 * @param id name of the account
 * @param keyHashes SHA-256 hashes of its keys, in hexadecimal
 * @param priority priority of its requests; higher values are served first
 * @param weight weight in fair sharing of a contended fleet among accounts of the same priority
 * @param tokensPerSecond rate limit over all instances
 * @param burstTokens burst size: tokens that the account may use at once above the rate
 */
public record ClientAccount(
        AccountId id,
        List<String> keyHashes,
        int priority,
        int weight,
        long tokensPerSecond,
        long burstTokens) {}
