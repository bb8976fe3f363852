package org.rattanport.kernel.environment;

/** Parsing of environment documents; connectors implement it. */
public interface DocumentCodec {
    /**
     * Parses and checks a document.
     *
     * @throws org.rattanport.kernel.error.RattanportException with code {@code INVALID_DOCUMENT};
     *     the message lists every fault with its path
     */
    EnvironmentDocument parse(String text);
}
