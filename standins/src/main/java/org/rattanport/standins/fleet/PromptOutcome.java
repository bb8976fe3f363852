package org.rattanport.standins.fleet;

import java.util.Optional;

/**
 * What a caller got for a prompt.
 *
 * @param status HTTP status
 * @param answerText answer, as far as it came
 * @param tokens output tokens received
 * @param isComplete whether the answer came to its closing mark
 * @param code error code, or empty
 * @param verdict verdict of an error, or empty
 * @param firstTokenNanos time from sending to the first token; zero when there was none
 * @param totalNanos time from sending to the end
 * @param requestId identity that the system gave
 * @param resumeTicket last ticket for going on elsewhere
 */
public record PromptOutcome(
        int status,
        String answerText,
        int tokens,
        boolean isComplete,
        String code,
        String verdict,
        long firstTokenNanos,
        long totalNanos,
        String requestId,
        Optional<String> resumeTicket) {}
