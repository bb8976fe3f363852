package org.rattanport.kernel.environment;

/**
 * One accepted version of an environment document.
 *
 * @param environment name of the environment
 * @param stage trial or production
 * @param version version number; each accepted change increments it
 * @param changeId id of the write; it resolves whether a write took effect when its response was
 *     lost
 * @param operator operator who made the change
 * @param acceptedWallMillis time of the change by the clock of the accepting instance
 * @param promotedTrialVersion trial version that was promoted; 0 if the document was edited
 *     directly
 * @param text the document as the operator wrote it
 */
public record DocumentVersion(
        String environment,
        Stage stage,
        long version,
        String changeId,
        String operator,
        long acceptedWallMillis,
        long promotedTrialVersion,
        String text) {}
