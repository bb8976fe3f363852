package org.rattanport.kernel.gateway;

/** One header field, in the spelling of its sender. */
public record Header(String name, String value) {}
