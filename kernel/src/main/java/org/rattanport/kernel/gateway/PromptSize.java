package org.rattanport.kernel.gateway;

/** Tokens of a prompt and the most tokens of its answer. */
public record PromptSize(int promptTokens, int answerTokens) {}
