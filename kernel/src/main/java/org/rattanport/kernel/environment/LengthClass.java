package org.rattanport.kernel.environment;

import java.time.Duration;

/**
 * A class of prompts by length.
 *
 * @param name label in metrics and figures
 * @param maximumPromptTokens longest prompt of the class
 * @param engineSharePercent share of a pool's engines that serve this class first
 * @param timeLimit time that a request gets when the caller names none
 */
public record LengthClass(
        String name, int maximumPromptTokens, int engineSharePercent, Duration timeLimit) {}
