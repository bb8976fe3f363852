package org.rattanport.kernel.gateway;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A client account.
 *
 * @param name name that is sent to back ends
 * @param keys keys that authenticate its callers
 * @param priority priority that overrides the priority of the route
 * @param allowedRegions regions where its requests may run; empty for all
 */
public record GatewayAccount(
        String name, Set<String> keys, OptionalInt priority, Set<String> allowedRegions) {
    /** Creates an account whose requests may run in all regions. */
    public GatewayAccount(String name, Set<String> keys, OptionalInt priority) {
        this(name, keys, priority, Set.of());
    }
}
