package org.rattanport.kernel.environment;

/**
 * A document version and its parsed content; requests keep the one that they were admitted under.
 */
public record ActiveEnvironment(DocumentVersion version, EnvironmentDocument document) {}
