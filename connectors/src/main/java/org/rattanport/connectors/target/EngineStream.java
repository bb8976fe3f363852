package org.rattanport.connectors.target;

import java.io.IOException;
import okhttp3.Call;
import okhttp3.Response;
import okio.BufferedSource;
import org.rattanport.connectors.http.HttpCaller;
import org.rattanport.connectors.http.HttpFailure;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.request.AnswerChunk;

/** An open answer of an engine: reads one server-sent event at a time. */
final class EngineStream {
    private static final String DATA = "data: ";
    private static final long LONGEST_EVENT_BYTES = 1 << 20;

    private final HttpCaller mHttp;
    private final Target mTarget;
    private final Call mCall;
    private final Response mResponse;
    private final BufferedSource mSource;
    private final AutoCloseable mCancelHook;
    private boolean mIsComplete;

    EngineStream(
            HttpCaller http,
            Target target,
            Call call,
            Response response,
            AutoCloseable cancelHook) {
        mHttp = http;
        mTarget = target;
        mCall = call;
        mResponse = response;
        mSource = response.body().source();
        mCancelHook = cancelHook;
    }

    /** Reads the next chunk; an end before the last chunk is an error. */
    AnswerChunk next() {
        try {
            while (true) {
                String line = mSource.readUtf8LineStrict(LONGEST_EVENT_BYTES);
                if (line.startsWith(DATA)) {
                    AnswerChunk chunk =
                            EngineMessages.chunk(
                                    Json.MAPPER.readTree(line.substring(DATA.length())));
                    mIsComplete = chunk.isLast();
                    return chunk;
                }
            }
        } catch (IOException e) {
            throw cut(e);
        }
    }

    private RattanportException cut(IOException error) {
        HttpFailure failure = mHttp.failure(mCall, error);
        if (mCall.isCanceled() && !failure.isTimeout()) {
            return RattanportException.builder(ErrorCode.CANCELLED, "the attempt was cancelled")
                    .verdict(Verdict.MAY_HAVE_RUN)
                    .build();
        }
        ErrorCode code = failure.isTimeout() ? ErrorCode.DEADLINE_EXCEEDED : ErrorCode.ANSWER_CUT;
        return RattanportException.builder(
                        code, "the answer of " + mTarget.id() + " broke off: " + error.getMessage())
                .verdict(Verdict.MAY_HAVE_RUN)
                .cause(error)
                .build();
    }

    void close() {
        try {
            mCancelHook.close();
        } catch (Exception e) {
            throw new IllegalStateException("removing a cancel hook cannot fail", e);
        }
        if (!mIsComplete) {
            // Cancelling first keeps close() from waiting for the rest of an unfinished answer.
            mCall.cancel();
        }
        mResponse.close();
    }
}
