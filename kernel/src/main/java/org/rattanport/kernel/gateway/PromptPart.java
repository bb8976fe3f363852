package org.rattanport.kernel.gateway;

/**
 * A part of a prompt; prompts that begin with the same parts have the same beginning.
 *
 * @param id id of the content of the part
 * @param tokens number of its tokens
 */
public record PromptPart(String id, int tokens) {}
