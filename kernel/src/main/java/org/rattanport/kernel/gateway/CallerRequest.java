package org.rattanport.kernel.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.rattanport.kernel.model.Fingerprint;

/**
 * A caller's request, read in full.
 *
 * @param method HTTP method
 * @param target path and query, byte for byte
 * @param host host name that routes are chosen by
 * @param attemptId caller's id of this attempt; empty when it sent none
 * @param key account key
 * @param patience time that the caller will wait
 * @param size size of the prompt, where the request carries one
 * @param lastEventId last event that the caller has of a stream that broke off
 * @param headers headers that go on to the back end
 * @param body whole body
 */
public record CallerRequest(
        String method,
        String target,
        String host,
        String attemptId,
        Optional<String> key,
        Optional<Duration> patience,
        Optional<PromptSize> size,
        Optional<String> lastEventId,
        List<Header> headers,
        byte[] body) {
    /** Path without the query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Identifies requests that ask for the same work of the same caller. */
    public Fingerprint fingerprint(String account) {
        return Fingerprint.of(
                account
                        + ' '
                        + method
                        + ' '
                        + target
                        + ' '
                        + java.util.Arrays.hashCode(body)
                        + ' '
                        + body.length);
    }
}
