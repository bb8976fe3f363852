package org.rattanport.standins.fleet;

import java.util.Optional;

/**
 * Outcome of a prompt as its caller saw it.
 *
 * @param status HTTP status
 * @param answerText answer, as far as it was received
 * @param tokens output tokens received
 * @param isComplete whether the end marker of the answer was received
 * @param code error code, or empty
 * @param verdict verdict of an error, or empty
 * @param firstTokenNanos time from sending to the first token; zero when there was none
 * @param totalNanos time from sending to the end
 * @param requestId request id that the instance assigned
 * @param resumeTicket last received ticket, with which any instance can resume the answer
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
