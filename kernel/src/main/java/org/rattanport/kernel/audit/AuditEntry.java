package org.rattanport.kernel.audit;

/**
 * A change that an operator or an instance made.
 *
 * @param wallMillis time of the change by the clock of the writing instance
 * @param actor operator or instance that made the change
 * @param subject changed object
 * @param change description of the change
 * @param outcome result of the change
 */
public record AuditEntry(
        long wallMillis, String actor, String subject, String change, String outcome) {}
