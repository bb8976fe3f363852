package org.rattanport.connectors.gateway;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.AnswerHead;
import org.rattanport.kernel.gateway.Attempt;
import org.rattanport.kernel.gateway.CallerRequest;
import org.rattanport.kernel.gateway.Header;

/**
 * Translates between HTTP messages as callers and back ends know them and the gateway's records.
 */
public interface GatewayDialect {
    /** Reads a caller's request. */
    CallerRequest request(HttpRequest head, byte[] body);

    /** Writes the request that goes to a back end. */
    FullHttpRequest attempt(Attempt attempt);

    /** Reads the head of a back end's answer. */
    AnswerHead answer(HttpResponse head);

    /** Headers of an answer that this instance gives itself. */
    List<Header> refusalHeaders(CallerRequest request, RattanportException error);
}
