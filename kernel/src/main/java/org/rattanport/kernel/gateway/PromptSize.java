package org.rattanport.kernel.gateway;

/** Number of tokens of a prompt and maximum number of tokens of its answer. */
public record PromptSize(int promptTokens, int maxOutputTokens) {}
