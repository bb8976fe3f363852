package org.rattanport.kernel.gateway;

/**
 * A routing document with the bytes that it was parsed from, which instances pass on to each other.
 *
 * @param document the document
 * @param source the bytes as stored; never modified
 */
public record SourcedDocument(RoutingDocument document, byte[] source) {}
