package org.rattanport.decisions.gateway.placement;

import org.rattanport.kernel.gateway.BackEnd;

/**
 * Memory that a prompt leases on a prefill engine, in addition to its memory on the decode engine.
 *
 * @param engine engine that holds the memory
 * @param id id of the lease, unique for each attempt and engine
 * @param tokens size of the lease in tokens
 */
public record Reservation(BackEnd engine, String id, int tokens) {}
