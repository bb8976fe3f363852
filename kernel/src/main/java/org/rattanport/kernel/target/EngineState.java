package org.rattanport.kernel.target;

/** What an engine serves now, and whether it is loading weights. */
public record EngineState(String model, String version, boolean isLoading, long fencingNumber) {}
