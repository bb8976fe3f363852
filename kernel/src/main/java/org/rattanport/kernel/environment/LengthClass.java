package org.rattanport.kernel.environment;

import java.time.Duration;

/**
 * A class of prompts by length.
 *
 * @param name label of the class in metrics and reports
 * @param maximumPromptTokens maximum prompt length of the class
 * @param engineSharePercent percentage of a pool's engines that prefer this class
 * @param timeLimit default time limit of requests
 */
public record LengthClass(
        String name, int maximumPromptTokens, int engineSharePercent, Duration timeLimit) {}
