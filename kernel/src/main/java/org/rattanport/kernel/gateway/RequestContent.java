package org.rattanport.kernel.gateway;

import java.util.List;
import org.rattanport.kernel.model.Fingerprint;

/**
 * What a back end runs when it serves a request.
 *
 * @param request fingerprint of the whole request
 * @param sharedParts fingerprints of the prompt's parts that other prompts may contain too
 */
public record RequestContent(Fingerprint request, List<Fingerprint> sharedParts) {
    /** Whether the content is the request itself or one of its parts. */
    public boolean contains(Fingerprint content) {
        return request.equals(content) || sharedParts.contains(content);
    }
}
