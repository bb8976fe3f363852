package org.rattanport.connectors.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.rattanport.connectors.http.BaseUrl;
import org.rattanport.connectors.http.HttpClient;
import org.rattanport.connectors.http.HttpClientRequest;
import org.rattanport.connectors.http.HttpClientResponse;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.platform.ObjectStore;
import org.rattanport.kernel.time.Deadline;

/** Client of the object store over HTTP. */
public final class HttpObjectStore implements ObjectStore {
    private static final int NOT_FOUND = 404;

    private final HttpClient mHttp;
    private final BaseUrl mBaseUrl;

    public HttpObjectStore(HttpClient http, String baseUrl) {
        mHttp = http;
        mBaseUrl = BaseUrl.parse(baseUrl);
    }

    @Override
    public void put(String key, byte[] content, Deadline deadline) {
        requireSuccess(execute(objectRequest(key).putBytes(content), deadline));
    }

    @Override
    public Optional<byte[]> get(String key, Deadline deadline) {
        HttpClientResponse response = execute(objectRequest(key).get(), deadline);
        return response.status() == NOT_FOUND
                ? Optional.empty()
                : Optional.of(requireSuccess(response).body());
    }

    @Override
    public void delete(String key, Deadline deadline) {
        HttpClientResponse response = execute(objectRequest(key).delete(), deadline);
        if (response.status() != NOT_FOUND) {
            requireSuccess(response);
        }
    }

    @Override
    public List<String> list(String prefix, Deadline deadline) {
        List<String> keys = new ArrayList<>();
        requireSuccess(
                        execute(
                                mBaseUrl.request("/objects").query("prefix", prefix).get(),
                                deadline))
                .json()
                .path("keys")
                .forEach(each -> keys.add(each.asText()));
        return keys;
    }

    private HttpClientRequest.Builder objectRequest(String key) {
        return mBaseUrl.request("/object").query("key", key);
    }

    private HttpClientResponse execute(HttpClientRequest request, Deadline deadline) {
        try {
            return mHttp.execute(request, deadline);
        } catch (RattanportException e) {
            throw unavailable("did not complete the request: " + e.getMessage(), e.verdict());
        }
    }

    private static HttpClientResponse requireSuccess(HttpClientResponse response) {
        if (!response.isSuccess()) {
            throw unavailable("returned status " + response.status(), Verdict.MAY_HAVE_RUN);
        }
        return response;
    }

    private static RattanportException unavailable(String problem, Verdict verdict) {
        return RattanportException.builder(
                        ErrorCode.STORE_UNAVAILABLE, "the object store " + problem)
                .verdict(verdict)
                .build();
    }
}
