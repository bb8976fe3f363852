package org.rattanport.kernel.gateway;

/** Running requests, waiting requests and slots of a back end. */
public record BackEndLoad(int running, int waiting, int slots) {}
