package org.rattanport.kernel.gateway;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A client account.
 *
 * @param name name that is sent to back ends
 * @param keys keys that authenticate its callers
 * @param priority priority that overrides the priority of the route
 */
public record GatewayAccount(String name, Set<String> keys, OptionalInt priority) {}
