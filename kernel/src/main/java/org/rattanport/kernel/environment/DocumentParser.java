package org.rattanport.kernel.environment;

/** Parses environment documents. Connectors implement this interface. */
public interface DocumentParser {
    /**
     * Parses and validates a document.
     *
     * @throws org.rattanport.kernel.error.RattanportException with code {@code INVALID_DOCUMENT};
     *     the message lists every error with its path
     */
    EnvironmentDocument parse(String document);
}
