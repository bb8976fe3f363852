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
 * @param target request target: path and query
 */
public record HttpCall(
        String method, String address, String target, List<Header> headers, byte[] body) {
    public static final String JSON_TYPE = "application/json";

    /** Prepares a request for a path at an address. */
    public static Builder to(String address, String path) {
        return new Builder(address, path);
    }

    /** Builder of a request; the methods named after an HTTP method build it. */
    public static final class Builder {
        private final String mAddress;
        private final QueryStringEncoder mTarget;
        private final List<Header> mHeaders = new ArrayList<>();

        private Builder(String address, String path) {
            mAddress = address;
            mTarget = new QueryStringEncoder(path);
        }

        public Builder query(String name, String value) {
            mTarget.addParam(name, value);
            return this;
        }

        public Builder header(String name, String value) {
            mHeaders.add(new Header(name, value));
            return this;
        }

        public HttpCall get() {
            return build("GET", new byte[0]);
        }

        public HttpCall delete() {
            return build("DELETE", new byte[0]);
        }

        /** Builds a POST request with a JSON body that is already encoded. */
        public HttpCall post(byte[] json) {
            return header("Content-Type", JSON_TYPE).build("POST", json);
        }

        public HttpCall post(Object json) {
            return post(Json.bytes(json));
        }

        /** Builds a PUT request with a JSON body that is already encoded. */
        public HttpCall put(byte[] json) {
            return header("Content-Type", JSON_TYPE).build("PUT", json);
        }

        public HttpCall put(Object json) {
            return put(Json.bytes(json));
        }

        /** Builds a PUT request with a binary body. */
        public HttpCall putBytes(byte[] content) {
            return header("Content-Type", "application/octet-stream").build("PUT", content);
        }

        private HttpCall build(String method, byte[] body) {
            return new HttpCall(method, mAddress, mTarget.toString(), List.copyOf(mHeaders), body);
        }
    }
}
