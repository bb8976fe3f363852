package org.rattanport.kernel.environment;

/**
 * One accepted version of an environment document.
 *
 * @param environment name of the environment
 * @param stage trial or production
 * @param version number that rises by one with each accepted change
 * @param changeId identifies the write, so that a lost answer can be resolved
 * @param operator who made the change
 * @param acceptedWallMillis when the change was made, by the clock of the accepting instance
 * @param promotedTrialVersion trial version that was promoted; zero when edited directly
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
