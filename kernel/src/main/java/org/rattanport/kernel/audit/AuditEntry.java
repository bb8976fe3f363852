package org.rattanport.kernel.audit;

/**
 * A change that someone or an instance made.
 *
 * @param wallMillis when, by the clock of the writing instance
 * @param actor operator or instance
 * @param subject what was changed
 * @param change what was done
 * @param outcome what became of it
 */
public record AuditEntry(
        long wallMillis, String actor, String subject, String change, String outcome) {}
