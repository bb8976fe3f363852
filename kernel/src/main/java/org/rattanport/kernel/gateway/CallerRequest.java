package org.rattanport.kernel.gateway;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.rattanport.kernel.model.Fingerprint;

/**
 * A caller's request, received in full.
 *
 * @param method HTTP method
 * @param requestTarget request target: path and query, byte for byte
 * @param host host name that selects the route
 * @param attemptId attempt id that the caller sent, or an empty string
 * @param accountKey account key, if the caller sent one
 * @param waitLimit time that the caller waits for a response, if it sent a limit
 * @param promptSize size of the prompt, if the request carries one
 * @param sharedParts ids of the prompt's parts that other prompts may contain too, in order; the
 *     last part of a prompt belongs to it alone and is left out
 * @param promptParts all parts of the prompt, in order, up to the first one whose number of tokens
 *     is unknown
 * @param lastEventId id of the last event that the caller received of an interrupted stream
 * @param headers headers that are forwarded to the back end
 * @param body the whole body
 */
public record CallerRequest(
        String method,
        String requestTarget,
        String host,
        String attemptId,
        Optional<String> accountKey,
        Optional<Duration> waitLimit,
        Optional<PromptSize> promptSize,
        List<String> sharedParts,
        List<PromptPart> promptParts,
        Optional<String> lastEventId,
        List<Header> headers,
        byte[] body) {
    /** A request that does not give the number of tokens of the parts of its prompt. */
    public CallerRequest(
            String method,
            String requestTarget,
            String host,
            String attemptId,
            Optional<String> accountKey,
            Optional<Duration> waitLimit,
            Optional<PromptSize> promptSize,
            List<String> sharedParts,
            Optional<String> lastEventId,
            List<Header> headers,
            byte[] body) {
        this(
                method,
                requestTarget,
                host,
                attemptId,
                accountKey,
                waitLimit,
                promptSize,
                sharedParts,
                List.of(),
                lastEventId,
                headers,
                body);
    }

    /** Path without the query. */
    public String path() {
        int query = requestTarget.indexOf('?');
        return query < 0 ? requestTarget : requestTarget.substring(0, query);
    }

    /** Returns what a back end runs for the request; equal for identical requests of an account. */
    public RequestContent content(String account) {
        Fingerprint whole =
                Fingerprint.of(
                        account
                                + ' '
                                + method
                                + ' '
                                + requestTarget
                                + ' '
                                + Arrays.hashCode(body)
                                + ' '
                                + body.length);
        return new RequestContent(
                whole, sharedParts.stream().map(id -> Fingerprint.of("part", id)).toList());
    }
}
