package org.rattanport.kernel.platform;

/** One row of the table service: the revision rises with each write of the key. */
public record Row(String key, long revision, String value) {}
