package org.rattanport.connectors.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.rattanport.connectors.http.HttpAnswer;
import org.rattanport.connectors.http.HttpCaller;
import org.rattanport.connectors.http.HttpFailure;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.platform.ObjectStore;
import org.rattanport.kernel.time.Deadline;

/** The object store over HTTP. */
public final class HttpObjectStore implements ObjectStore {
    private static final MediaType BYTES = MediaType.get("application/octet-stream");
    private static final int NOT_FOUND = 404;

    private final HttpCaller mHttp;
    private final HttpUrl mBase;

    public HttpObjectStore(HttpCaller http, String baseAddress) {
        mHttp = http;
        mBase = HttpUrl.get(baseAddress);
    }

    @Override
    public void put(String key, byte[] content, Deadline deadline) {
        require(exchange(object(key).put(RequestBody.create(content, BYTES)), deadline));
    }

    @Override
    public Optional<byte[]> get(String key, Deadline deadline) {
        HttpAnswer answer = exchange(object(key), deadline);
        return answer.status() == NOT_FOUND
                ? Optional.empty()
                : Optional.of(require(answer).body());
    }

    @Override
    public void delete(String key, Deadline deadline) {
        HttpAnswer answer = exchange(object(key).delete(), deadline);
        if (answer.status() != NOT_FOUND) {
            require(answer);
        }
    }

    @Override
    public List<String> list(String prefix, Deadline deadline) {
        HttpUrl url =
                mBase.newBuilder()
                        .addPathSegment("objects")
                        .addQueryParameter("prefix", prefix)
                        .build();
        List<String> keys = new ArrayList<>();
        require(exchange(new Request.Builder().url(url), deadline))
                .json()
                .path("keys")
                .forEach(each -> keys.add(each.asText()));
        return keys;
    }

    private Request.Builder object(String key) {
        HttpUrl url =
                mBase.newBuilder().addPathSegment("object").addQueryParameter("key", key).build();
        return new Request.Builder().url(url);
    }

    private HttpAnswer exchange(Request.Builder request, Deadline deadline) {
        try {
            return mHttp.exchange(request, deadline);
        } catch (HttpFailure e) {
            throw unavailable("gave no answer: " + e.getMessage(), e.verdict());
        }
    }

    private static HttpAnswer require(HttpAnswer answer) {
        if (!answer.isSuccess()) {
            throw unavailable("answered with status " + answer.status(), Verdict.MAY_HAVE_RUN);
        }
        return answer;
    }

    private static RattanportException unavailable(String what, Verdict verdict) {
        return RattanportException.builder(ErrorCode.STORE_UNAVAILABLE, "the object store " + what)
                .verdict(verdict)
                .build();
    }
}
