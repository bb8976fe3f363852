package org.rattanport.decisions.gateway;

import org.rattanport.kernel.gateway.BackEnd;

/**
 * Engine memory that a prompt needs beside that of the engine that writes.
 *
 * @param engine engine that holds it
 * @param id id of the lease, unique for each attempt and engine
 * @param tokens tokens to hold
 */
public record Reservation(BackEnd engine, String id, int tokens) {}
