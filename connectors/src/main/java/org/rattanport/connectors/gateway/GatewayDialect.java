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

/** Translates between the HTTP messages of callers and back ends and the gateway's records. */
public interface GatewayDialect {
    /** Decodes a caller's request. */
    CallerRequest request(HttpRequest head, byte[] body);

    /** Encodes the request that is sent to a back end. */
    FullHttpRequest attempt(Attempt attempt);

    /** Decodes the head of a back end's response. */
    AnswerHead answer(HttpResponse head);

    /** Returns the headers of an error response that this instance generates itself. */
    List<Header> refusalHeaders(CallerRequest request, RattanportException error);
}
