package org.rattanport.connectors.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import java.util.regex.Pattern;
import org.rattanport.connectors.http.HttpMessagePart.End;
import org.rattanport.connectors.http.HttpMessagePart.Head;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;

/**
 * Finds the final head of a response behind its interim ones. The rule of what a status is stands
 * here for all clients: three digits from 100 to 599, of which 1xx is interim. A response of
 * another kind has failed, and its request may have run.
 */
public final class ResponseHeadReader {
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");
    private static final int FIRST_FINAL_STATUS = 200;

    /** Servers send one or two; without a bound, endless ones would use the processor in vain. */
    private static final int MAX_INTERIM_RESPONSES = 64;

    private int mInterimResponses;

    /** Whether the text of a status line is a status. */
    static boolean isStatus(String text) {
        return STATUS.matcher(text).matches();
    }

    /**
     * Takes the next part of the response, and returns the final head if the part is one.
     *
     * @throws RattanportException {@code TARGET_FAILED} with {@code MAY_HAVE_RUN} when this is no
     *     valid response
     */
    public Optional<HttpResponse> accept(HttpMessagePart part) {
        if (part instanceof End) {
            return Optional.empty();
        }
        if (!(part instanceof Head head)
                || !(head.message() instanceof HttpResponse response)
                || response.decoderResult().isFailure()) {
            throw invalid("the response is not valid HTTP");
        }
        if (response.status().code() >= FIRST_FINAL_STATUS) {
            return Optional.of(response);
        }
        if (response.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            throw invalid("the response switches to a protocol that no request asks for");
        }
        mInterimResponses++;
        if (mInterimResponses > MAX_INTERIM_RESPONSES) {
            throw invalid("more than " + MAX_INTERIM_RESPONSES + " interim responses");
        }
        return Optional.empty();
    }

    private static RattanportException invalid(String reason) {
        return RattanportException.builder(ErrorCode.TARGET_FAILED, reason)
                .verdict(Verdict.MAY_HAVE_RUN)
                .build();
    }
}
