package org.rattanport.kernel.plugin;

/** Kinds of instance that the registered plug-ins can make up. */
public enum Edition {
    /** Serves the project's own interface for prompts and operations. */
    PROMPTS,
    /** Forwards requests unchanged to the back ends of their routes. */
    GATEWAY
}
