package org.rattanport.kernel.gateway;

/** Requests that a back end runs, requests that wait there, and its places. */
public record BackEndLoad(int running, int waiting, int slots) {}
