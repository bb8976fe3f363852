package org.rattanport.kernel.plugin;

/** Kinds of instance; each is made up of the plug-ins that name it. */
public enum Edition {
    /** Serves Rattanport's own interface for prompts and operations. */
    PROMPTS,
    /** Forwards requests unchanged to the back ends of their routes. */
    GATEWAY
}
