package org.rattanport.connectors.http;

import io.netty.handler.codec.http.QueryStringEncoder;
import java.util.ArrayList;
import java.util.List;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.gateway.Header;

/**
 * An HTTP request that a client sends.
 *
 * @param address IP and port of the server
 * @param requestTarget path and query
 */
public record HttpClientRequest(
        String method, String address, String requestTarget, List<Header> headers, byte[] body) {
    public static final String JSON_CONTENT_TYPE = "application/json";

    /** Prepares a request for a path at an address. */
    public static Builder builder(String address, String path) {
        return new Builder(address, path);
    }

    /** Builder of a request; the methods named after an HTTP method build it. */
    public static final class Builder {
        private final String mAddress;
        private final QueryStringEncoder mRequestTarget;
        private final List<Header> mHeaders = new ArrayList<>();

        private Builder(String address, String path) {
            mAddress = address;
            mRequestTarget = new QueryStringEncoder(path);
        }

        public Builder query(String name, String value) {
            mRequestTarget.addParam(name, value);
            return this;
        }

        public Builder header(String name, String value) {
            mHeaders.add(new Header(name, value));
            return this;
        }

        public HttpClientRequest get() {
            return build("GET", new byte[0]);
        }

        public HttpClientRequest delete() {
            return build("DELETE", new byte[0]);
        }

        /** Builds a POST request with a JSON body that is already encoded. */
        public HttpClientRequest post(byte[] json) {
            return header("Content-Type", JSON_CONTENT_TYPE).build("POST", json);
        }

        public HttpClientRequest post(Object json) {
            return post(Json.toJsonBytes(json));
        }

        /** Builds a PUT request with a JSON body that is already encoded. */
        public HttpClientRequest put(byte[] json) {
            return header("Content-Type", JSON_CONTENT_TYPE).build("PUT", json);
        }

        public HttpClientRequest put(Object json) {
            return put(Json.toJsonBytes(json));
        }

        /** Builds a PUT request with a binary body. */
        public HttpClientRequest putBytes(byte[] content) {
            return header("Content-Type", "application/octet-stream").build("PUT", content);
        }

        private HttpClientRequest build(String method, byte[] body) {
            return new HttpClientRequest(
                    method, mAddress, mRequestTarget.toString(), List.copyOf(mHeaders), body);
        }
    }
}
