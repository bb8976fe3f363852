package org.rattanport.connectors.gateway;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.Attempt;
import org.rattanport.kernel.gateway.CallerRequest;
import org.rattanport.kernel.gateway.Header;
import org.rattanport.kernel.gateway.ResponseHead;

/** Translates between the HTTP messages of callers and back ends and the gateway's records. */
public interface GatewayDialect {
    /** Decodes a caller's request. */
    CallerRequest decodeRequest(HttpRequest head, byte[] body);

    /** Encodes the request that is sent to a back end. */
    FullHttpRequest encodeRequest(Attempt attempt);

    /** Decodes the head of a back end's response. */
    ResponseHead decodeResponseHead(HttpResponse head);

    /** Returns the headers of an error response that this instance generates itself. */
    List<Header> errorHeaders(CallerRequest request, RattanportException error);
}
