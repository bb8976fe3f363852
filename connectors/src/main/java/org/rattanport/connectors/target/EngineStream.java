package org.rattanport.connectors.target;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Optional;
import org.rattanport.connectors.http.HttpResponseStream;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.request.AnswerChunk;

/** A streamed response of an engine, read one server-sent event at a time. */
final class EngineStream {
    private static final String DATA_PREFIX = "data: ";
    private final Target mTarget;
    private final HttpResponseStream mStream;

    EngineStream(Target target, HttpResponseStream stream) {
        mTarget = target;
        mStream = stream;
    }

    /** Reads the next chunk; a stream that ends before its last chunk is an error. */
    AnswerChunk next() {
        Optional<String> line = nextLine();
        while (line.isPresent()) {
            if (line.get().startsWith(DATA_PREFIX)) {
                return chunk(line.get().substring(DATA_PREFIX.length()));
            }
            line = nextLine();
        }
        throw incomplete("the stream ended before its last event", ErrorCode.ANSWER_CUT);
    }

    private Optional<String> nextLine() {
        try {
            return mStream.nextLine();
        } catch (RattanportException e) {
            boolean isTruncated = e.code() == ErrorCode.TARGET_FAILED;
            throw incomplete(
                    String.valueOf(e.getMessage()), isTruncated ? ErrorCode.ANSWER_CUT : e.code());
        }
    }

    private AnswerChunk chunk(String json) {
        try {
            return EngineMessages.chunk(Json.MAPPER.readTree(json));
        } catch (JsonProcessingException e) {
            throw incomplete(Json.describeError(e), ErrorCode.ANSWER_CUT);
        }
    }

    private RattanportException incomplete(String reason, ErrorCode code) {
        return RattanportException.builder(
                        code, "the response of " + mTarget.id() + " is incomplete: " + reason)
                .verdict(Verdict.MAY_HAVE_RUN)
                .build();
    }

    void close() {
        mStream.close();
    }
}
