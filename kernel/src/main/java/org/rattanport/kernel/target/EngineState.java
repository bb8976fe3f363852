package org.rattanport.kernel.target;

/** The model that an engine serves, and whether the engine is loading weights. */
public record EngineState(String model, String version, boolean isLoading, long fencingNumber) {}
