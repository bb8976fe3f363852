package org.rattanport.connectors.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.rattanport.connectors.http.BaseUrl;
import org.rattanport.connectors.http.HttpClient;
import org.rattanport.connectors.http.HttpClientRequest;
import org.rattanport.connectors.http.HttpClientResponse;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.platform.Row;
import org.rattanport.kernel.platform.RowWrite;
import org.rattanport.kernel.platform.TableService;
import org.rattanport.kernel.platform.TransactionResult;
import org.rattanport.kernel.time.Deadline;

/** Client of the table service over HTTP. */
public final class HttpTableService implements TableService {
    private static final int CONFLICT = 409;
    private static final int NOT_FOUND = 404;

    private final HttpClient mHttp;
    private final BaseUrl mBaseUrl;

    public HttpTableService(HttpClient http, String baseUrl) {
        mHttp = http;
        mBaseUrl = BaseUrl.parse(baseUrl);
    }

    @Override
    public Optional<Row> get(String key, Deadline deadline) {
        HttpClientResponse response =
                execute(mBaseUrl.request("/row").query("key", key).get(), deadline);
        return response.status() == NOT_FOUND
                ? Optional.empty()
                : Optional.of(row(requireSuccess(response)));
    }

    @Override
    public TransactionResult commit(List<RowWrite> writes, Deadline deadline) {
        ObjectNode body = Json.newObject();
        ArrayNode list = body.putArray("writes");
        writes.forEach(each -> add(list, each));
        HttpClientResponse response =
                execute(mBaseUrl.request("/transactions").post(body), deadline);
        if (response.status() == CONFLICT) {
            List<String> keys = new ArrayList<>();
            response.json().path("conflicts").forEach(each -> keys.add(each.asText()));
            return new TransactionResult.Conflict(keys);
        }
        List<Long> revisions = new ArrayList<>();
        requireSuccess(response).path("revisions").forEach(each -> revisions.add(each.asLong()));
        return new TransactionResult.Committed(revisions);
    }

    private static void add(ArrayNode list, RowWrite write) {
        ObjectNode node = list.addObject();
        node.put("key", write.key()).put("expected_revision", write.expectedRevision());
        write.value().ifPresent(value -> node.put("value", value));
    }

    @Override
    public List<Row> scan(String prefix, String afterKey, int limit, Deadline deadline) {
        HttpClientRequest request =
                mBaseUrl.request("/rows")
                        .query("prefix", prefix)
                        .query("after", afterKey)
                        .query("limit", Integer.toString(limit))
                        .get();
        List<Row> rows = new ArrayList<>();
        requireSuccess(execute(request, deadline))
                .path("rows")
                .forEach(each -> rows.add(row(each)));
        return rows;
    }

    private HttpClientResponse execute(HttpClientRequest request, Deadline deadline) {
        try {
            return mHttp.execute(request, deadline);
        } catch (RattanportException e) {
            throw RattanportException.builder(
                            ErrorCode.STORE_UNAVAILABLE,
                            "the table service did not complete the request: " + e.getMessage())
                    .verdict(e.verdict())
                    .cause(e)
                    .build();
        }
    }

    /** Returns the body; an error status does not show whether a write took effect. */
    private static JsonNode requireSuccess(HttpClientResponse response) {
        if (!response.isSuccess()) {
            throw RattanportException.builder(
                            ErrorCode.STORE_UNAVAILABLE,
                            "the table service returned status " + response.status())
                    .verdict(Verdict.MAY_HAVE_RUN)
                    .build();
        }
        return response.json();
    }

    private static Row row(JsonNode node) {
        return new Row(
                node.path("key").asText(),
                node.path("revision").asLong(),
                node.path("value").asText());
    }
}
