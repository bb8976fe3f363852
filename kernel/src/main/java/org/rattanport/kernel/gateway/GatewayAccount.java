package org.rattanport.kernel.gateway;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A client account.
 *
 * @param name name that back ends are told
 * @param keys keys that callers show
 * @param priority rank that goes before the rank of a route
 */
public record GatewayAccount(String name, Set<String> keys, OptionalInt priority) {}
