package org.rattanport.kernel.environment;

/**
 * A document version and its parsed content. A request uses the version under which it was admitted
 * until it ends.
 */
public record ActiveEnvironment(DocumentVersion version, EnvironmentDocument document) {}
