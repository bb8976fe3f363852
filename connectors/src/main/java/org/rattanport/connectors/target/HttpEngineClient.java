package org.rattanport.connectors.target;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.reactivex.rxjava3.core.Flowable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import okhttp3.Call;
import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.Response;
import org.rattanport.connectors.http.HttpAnswer;
import org.rattanport.connectors.http.HttpCaller;
import org.rattanport.connectors.http.HttpFailure;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetLoad;
import org.rattanport.kernel.request.AnswerChunk;
import org.rattanport.kernel.target.EngineCall;
import org.rattanport.kernel.target.EngineClient;
import org.rattanport.kernel.target.EngineHolding;
import org.rattanport.kernel.target.EngineState;
import org.rattanport.kernel.target.ModelOrder;
import org.rattanport.kernel.target.SegmentCall;
import org.rattanport.kernel.target.SegmentPiece;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/** Speaks with engines over HTTP, in the chat-completions shape with extensions. */
public final class HttpEngineClient implements EngineClient {
    private static final int CONFLICT = 409;

    private final HttpCaller mHttp;
    private final TimeSource mTime;

    public HttpEngineClient(HttpCaller http, TimeSource time) {
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
                EngineMessages.completion(call, call.deadline().remaining(mTime).toMillis());
        Request.Builder request =
                new Request.Builder()
                        .url(url(target, "v1", "chat", "completions"))
                        .post(HttpCaller.json(body));
        Call prepared = mHttp.prepare(request, call.deadline());
        AutoCloseable hook = call.cancellation().onCancel(prepared::cancel);
        Response response;
        try {
            response = mHttp.execute(prepared);
        } catch (HttpFailure e) {
            throw call.cancellation().isCancelled()
                    ? cancelled(e)
                    : TargetErrors.noAnswer(target, e);
        }
        if (!response.isSuccessful()) {
            throw TargetErrors.refusedByEngine(target, read(target, prepared, response));
        }
        return new EngineStream(mHttp, target, prepared, response, hook);
    }

    private static RattanportException cancelled(HttpFailure failure) {
        return RattanportException.builder(ErrorCode.CANCELLED, "the attempt was cancelled")
                .verdict(failure.verdict())
                .cause(failure)
                .build();
    }

    private HttpAnswer read(Target target, Call call, Response response) {
        try (response) {
            return new HttpAnswer(response.code(), response.body().bytes(), Optional.empty());
        } catch (IOException e) {
            throw TargetErrors.noAnswer(target, mHttp.failure(call, e));
        }
    }

    @Override
    public void release(Target target, String key, Deadline deadline) {
        Request.Builder request = post(target, Json.object().put("key", key), "v1", "release");
        requireSuccess(target, exchange(target, request, deadline));
    }

    @Override
    public TargetLoad load(Target target, Deadline deadline) {
        Request.Builder request = new Request.Builder().url(url(target, "v1", "load"));
        return EngineMessages.load(
                requireSuccess(target, exchange(target, request, deadline)).json());
    }

    @Override
    public List<EngineHolding> holdings(Target target, Deadline deadline) {
        Request.Builder request = new Request.Builder().url(url(target, "v1", "holdings"));
        List<EngineHolding> holdings = new ArrayList<>();
        requireSuccess(target, exchange(target, request, deadline))
                .json()
                .path("holdings")
                .forEach(each -> holdings.add(EngineMessages.holding(each)));
        return holdings;
    }

    @Override
    public boolean reserve(Target target, SegmentCall call) {
        HttpAnswer answer = sendSegment(target, call, "reserve");
        if (answer.status() == CONFLICT) {
            return false;
        }
        requireSuccess(target, answer);
        return true;
    }

    @Override
    public SegmentPiece computeSegment(Target target, SegmentCall call) {
        requireSuccess(target, sendSegment(target, call, "segments"));
        return new SegmentPiece(target, call.key(), call.tokens());
    }

    private HttpAnswer sendSegment(Target target, SegmentCall call, String operation) {
        long millis = call.deadline().remaining(mTime).toMillis();
        Request.Builder request =
                post(target, EngineMessages.segment(call, millis), "v1", operation);
        return exchange(target, request, call.deadline());
    }

    @Override
    public EngineState state(Target target, Deadline deadline) {
        Request.Builder request = new Request.Builder().url(url(target, "v1", "state"));
        return EngineMessages.state(
                requireSuccess(target, exchange(target, request, deadline)).json());
    }

    @Override
    public boolean order(Target target, ModelOrder order, Deadline deadline) {
        ObjectNode body =
                Json.object()
                        .put("model", order.model())
                        .put("version", order.version())
                        .put("fencing_number", order.fencingNumber());
        HttpAnswer answer = exchange(target, post(target, body, "v1", "orders"), deadline);
        if (answer.status() == CONFLICT) {
            return false;
        }
        requireSuccess(target, answer);
        return true;
    }

    private HttpAnswer exchange(Target target, Request.Builder request, Deadline deadline) {
        try {
            return mHttp.exchange(request, deadline);
        } catch (HttpFailure e) {
            throw TargetErrors.noAnswer(target, e);
        }
    }

    private static HttpAnswer requireSuccess(Target target, HttpAnswer answer) {
        if (!answer.isSuccess()) {
            throw TargetErrors.refusedByEngine(target, answer);
        }
        return answer;
    }

    private static Request.Builder post(Target target, ObjectNode body, String... path) {
        return new Request.Builder().url(url(target, path)).post(HttpCaller.json(body));
    }

    private static HttpUrl url(Target target, String... path) {
        return HttpUrl.get("http://" + target.address() + "/" + String.join("/", path));
    }
}
