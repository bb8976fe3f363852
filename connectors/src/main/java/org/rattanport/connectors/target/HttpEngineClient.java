package org.rattanport.connectors.target;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.reactivex.rxjava3.core.Flowable;
import java.util.ArrayList;
import java.util.List;
import org.rattanport.connectors.http.HttpClient;
import org.rattanport.connectors.http.HttpClientRequest;
import org.rattanport.connectors.http.HttpClientResponse;
import org.rattanport.connectors.http.HttpResponseStream;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetLoad;
import org.rattanport.kernel.request.AnswerChunk;
import org.rattanport.kernel.target.EngineCall;
import org.rattanport.kernel.target.EngineClient;
import org.rattanport.kernel.target.EngineState;
import org.rattanport.kernel.target.MemoryAllocation;
import org.rattanport.kernel.target.ModelAssignment;
import org.rattanport.kernel.target.PrefilledSegment;
import org.rattanport.kernel.target.SegmentPrefill;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/** Calls engines over HTTP, in the chat-completions format with extensions. */
public final class HttpEngineClient implements EngineClient {
    private static final int FIRST_NON_SUCCESS_STATUS = 300;
    private static final int CONFLICT = 409;

    private final HttpClient mHttp;
    private final TimeSource mTime;

    public HttpEngineClient(HttpClient http, TimeSource time) {
        mHttp = http;
        mTime = time;
    }

    @Override
    public Flowable<AnswerChunk> generate(Target target, EngineCall call) {
        return Flowable.generate(
                () -> open(target, call),
                (stream, emitter) -> {
                    AnswerChunk chunk = stream.next();
                    emitter.onNext(chunk);
                    if (chunk.isLast()) {
                        emitter.onComplete();
                    }
                },
                EngineStream::close);
    }

    private EngineStream open(Target target, EngineCall call) {
        ObjectNode body =
                EngineMessages.completionRequest(call, call.deadline().remaining(mTime).toMillis());
        HttpResponseStream stream;
        try {
            stream =
                    mHttp.executeStreaming(
                            HttpClientRequest.builder(target.address(), "/v1/chat/completions")
                                    .post(body),
                            call.deadline(),
                            call.cancellation());
        } catch (RattanportException e) {
            throw e.code() == ErrorCode.CANCELLED ? e : TargetErrors.callFailed(target, e);
        }
        if (stream.status() >= FIRST_NON_SUCCESS_STATUS) {
            try (stream) {
                throw TargetErrors.engineError(target, stream.readAll());
            }
        }
        return new EngineStream(target, stream);
    }

    @Override
    public void release(Target target, String key, Deadline deadline) {
        HttpClientRequest request =
                request(target, "release").post(Json.newObject().put("key", key));
        requireSuccess(target, execute(target, request, deadline));
    }

    @Override
    public TargetLoad loadReport(Target target, Deadline deadline) {
        HttpClientRequest request = request(target, "load").get();
        return EngineMessages.load(
                requireSuccess(target, execute(target, request, deadline)).json());
    }

    @Override
    public List<MemoryAllocation> memoryAllocations(Target target, Deadline deadline) {
        HttpClientRequest request = request(target, "holdings").get();
        List<MemoryAllocation> allocations = new ArrayList<>();
        requireSuccess(target, execute(target, request, deadline))
                .json()
                .path("holdings")
                .forEach(each -> allocations.add(EngineMessages.memoryAllocation(each)));
        return allocations;
    }

    @Override
    public boolean reserve(Target target, SegmentPrefill prefill) {
        HttpClientResponse response = sendSegment(target, prefill, "reserve");
        if (response.status() == CONFLICT) {
            return false;
        }
        requireSuccess(target, response);
        return true;
    }

    @Override
    public PrefilledSegment prefillSegment(Target target, SegmentPrefill prefill) {
        requireSuccess(target, sendSegment(target, prefill, "segments"));
        return new PrefilledSegment(target, prefill.key(), prefill.tokens());
    }

    private HttpClientResponse sendSegment(
            Target target, SegmentPrefill prefill, String operation) {
        long remainingMillis = prefill.deadline().remaining(mTime).toMillis();
        HttpClientRequest request =
                request(target, operation)
                        .post(EngineMessages.segmentRequest(prefill, remainingMillis));
        return execute(target, request, prefill.deadline());
    }

    @Override
    public EngineState state(Target target, Deadline deadline) {
        HttpClientRequest request = request(target, "state").get();
        return EngineMessages.state(
                requireSuccess(target, execute(target, request, deadline)).json());
    }

    @Override
    public boolean assignModel(Target target, ModelAssignment assignment, Deadline deadline) {
        ObjectNode body =
                Json.newObject()
                        .put("model", assignment.model())
                        .put("version", assignment.version())
                        .put("fencing_number", assignment.fencingNumber());
        HttpClientResponse response =
                execute(target, request(target, "orders").post(body), deadline);
        if (response.status() == CONFLICT) {
            return false;
        }
        requireSuccess(target, response);
        return true;
    }

    private HttpClientResponse execute(
            Target target, HttpClientRequest request, Deadline deadline) {
        try {
            return mHttp.execute(request, deadline);
        } catch (RattanportException e) {
            throw TargetErrors.callFailed(target, e);
        }
    }

    private static HttpClientResponse requireSuccess(Target target, HttpClientResponse response) {
        if (!response.isSuccess()) {
            throw TargetErrors.engineError(target, response);
        }
        return response;
    }

    private static HttpClientRequest.Builder request(Target target, String operation) {
        return HttpClientRequest.builder(target.address(), "/v1/" + operation);
    }
}
