package org.rattanport.kernel.platform;

/** A row of the table service. Each write of the key increases the revision. */
public record Row(String key, long revision, String value) {}
